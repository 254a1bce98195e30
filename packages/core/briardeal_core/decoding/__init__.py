"""Decoding of documents and records that any writer may have sent."""

from briardeal_core.decoding._decoding import Amount, Count, decode_json, decode_msgpack

__all__ = ["Amount", "Count", "decode_json", "decode_msgpack"]
