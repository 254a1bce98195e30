"""Decoding with one exception for everything that a document can have wrong."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

T = TypeVar("T")

MAX_COUNT = 2**53
"""Largest whole number that every reader of JSON represents exactly."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A whole number of a document, small enough to be computed with and sent on."""

Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A number of a document that sums and products of it don't make infinite."""


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode a JSON document.

    Raises
    ------
    msgspec.DecodeError
        If the document is malformed, nested too deeply, or not of this type.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError(f"nested too deeply: {error}") from None


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode a MessagePack record.

    Raises
    ------
    msgspec.DecodeError
        If the record is malformed, nested too deeply, or not of this type.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError(f"nested too deeply: {error}") from None
