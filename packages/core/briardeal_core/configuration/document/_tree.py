"""Building of typed values from a YAML tree, with the place of each."""

from __future__ import annotations

import difflib
import typing
from typing import TYPE_CHECKING, Any

import msgspec
import yaml

from briardeal_core.configuration.document._limits import LIMITS, Limit
from briardeal_core.configuration.document._mistakes import DocumentError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yaml.nodes import Node


class TreeReader:
    """Reads values from a YAML tree and collects every mistake.

    Attributes
    ----------
    mistakes
        What was found so far.
    values
        What was read, by its path; sound parts of a file with mistakes too.
    """

    def __init__(self) -> None:
        self.mistakes: list[DocumentError] = []
        self.values: dict[str, Any] = {}
        self._nodes: dict[str, Node] = {}
        self._constructor = yaml.SafeLoader("")

    def add_mistake(self, path: str, sentence: str) -> None:
        """Add a mistake at the place of a path."""
        self._add(self._nodes[path], sentence)

    def read(self, node: Node, kind: Any, path: str, limit: Limit | None = None) -> Any:
        """Return the value of a node, or `msgspec.UNSET` where it is wrong."""
        self._nodes[path] = node
        if typing.get_origin(kind) is tuple:
            value = self._read_sequence(node, typing.get_args(kind)[0], path)
        elif isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            value = self._read_struct(node, kind, path)
        else:
            value = self._read_scalar(node, kind, path, limit)
        if value is not msgspec.UNSET:
            self.values[path] = value
        return value

    def _read_sequence(self, node: Node, kind: Any, path: str) -> Any:
        if not isinstance(node, yaml.SequenceNode):
            self._add(node, f"{path} must be a list.")
            return msgspec.UNSET
        items = [self.read(item, kind, f"{path}[{index}]") for index, item in enumerate(node.value)]
        return msgspec.UNSET if msgspec.UNSET in items else tuple(items)

    def _read_struct(self, node: Node, kind: type[msgspec.Struct], path: str) -> Any:
        if not isinstance(node, yaml.MappingNode):
            self._add(node, f"{path or 'The file'} must hold names and values.")
            return msgspec.UNSET
        children = self._read_keys(node, kind, path)
        hints = typing.get_type_hints(kind)
        values = {
            name: self.read(child, hints[name], _join(path, name), LIMITS.get((kind, name)))
            for name, child in children.items()
        }
        for field in msgspec.structs.fields(kind):
            if field.required and field.name not in children:
                self._add(node, f"{_join(path, field.name)} is missing.")
                values[field.name] = msgspec.UNSET
        return msgspec.UNSET if msgspec.UNSET in values.values() else kind(**values)

    def _read_keys(
        self, node: yaml.MappingNode, kind: type[msgspec.Struct], path: str
    ) -> dict[str, Node]:
        known = [field.name for field in msgspec.structs.fields(kind)]
        children: dict[str, Node] = {}
        for key, child in node.value:
            name = str(key.value)
            if name not in known:
                self._add(key, f"{_join(path, name)} is not known.{suggest(name, known)}")
            elif name in children:
                self._add(key, f"{_join(path, name)} is given twice.")
            else:
                children[name] = child
        return children

    def _read_scalar(self, node: Node, kind: Any, path: str, limit: Limit | None) -> Any:
        allowed = "a value" if limit is None else limit.allowed
        if not isinstance(node, yaml.ScalarNode):
            self._add(node, f"{path} must be a single value; allowed: {allowed}.")
            return msgspec.UNSET
        try:
            value = msgspec.convert(self._constructor.construct_object(node), kind)
        except (msgspec.ValidationError, ValueError, yaml.YAMLError):
            value = msgspec.UNSET
        if value is msgspec.UNSET or (limit is not None and not limit.holds(value)):
            self._add(node, f"{path} is {node.value!r}; allowed: {allowed}.")
            return msgspec.UNSET
        return value

    def _add(self, node: Node, sentence: str) -> None:
        mark = node.start_mark
        self.mistakes.append(DocumentError(mark.line + 1, mark.column + 1, sentence))


def suggest(name: str, known: Iterable[str]) -> str:
    """Return a sentence that names the nearest known name, or nothing."""
    close = difflib.get_close_matches(name, list(known), n=1)
    return f" Did you mean {close[0]!r}?" if close else ""


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
