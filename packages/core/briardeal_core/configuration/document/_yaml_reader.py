"""Conversion of a YAML tree into typed values, with the position of every error."""

from __future__ import annotations

import difflib
import typing
from typing import TYPE_CHECKING, Any

import msgspec
import yaml

from briardeal_core.configuration.document._errors import DocumentError
from briardeal_core.configuration.document._rules import FIELD_RULES, FieldRule

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yaml.nodes import Node


class YamlReader:
    """Converts a YAML tree into typed values and collects all errors.

    Attributes
    ----------
    errors
        Errors found so far.
    values
        Converted values by path, including the valid parts of a file with errors.
    """

    def __init__(self) -> None:
        self.errors: list[DocumentError] = []
        self.values: dict[str, Any] = {}
        self._nodes: dict[str, Node] = {}
        self._constructor = yaml.SafeLoader("")

    def add_error(self, path: str, message: str) -> None:
        """Add an error at the position of a path."""
        self._add_at_node(self._nodes[path], message)

    def read(self, node: Node, expected_type: Any, path: str, rule: FieldRule | None = None) -> Any:
        """Convert a node; return its value, or `msgspec.UNSET` if it is invalid."""
        self._nodes[path] = node
        if typing.get_origin(expected_type) is tuple:
            value = self._read_sequence(node, typing.get_args(expected_type)[0], path)
        elif isinstance(expected_type, type) and issubclass(expected_type, msgspec.Struct):
            value = self._read_struct(node, expected_type, path)
        else:
            value = self._read_scalar(node, expected_type, path, rule)
        if value is not msgspec.UNSET:
            self.values[path] = value
        return value

    def _read_sequence(self, node: Node, expected_type: Any, path: str) -> Any:
        if not isinstance(node, yaml.SequenceNode):
            self._add_at_node(node, f"{path} must be a list.")
            return msgspec.UNSET
        items = [
            self.read(item, expected_type, f"{path}[{index}]")
            for index, item in enumerate(node.value)
        ]
        return msgspec.UNSET if msgspec.UNSET in items else tuple(items)

    def _read_struct(self, node: Node, expected_type: type[msgspec.Struct], path: str) -> Any:
        if not isinstance(node, yaml.MappingNode):
            self._add_at_node(node, f"{path or 'The file'} must be a mapping of names to values.")
            return msgspec.UNSET
        children = self._read_keys(node, expected_type, path)
        hints = typing.get_type_hints(expected_type)
        values = {
            name: self.read(
                child, hints[name], _join(path, name), FIELD_RULES.get((expected_type, name))
            )
            for name, child in children.items()
        }
        for field in msgspec.structs.fields(expected_type):
            if field.required and field.name not in children:
                self._add_at_node(node, f"{_join(path, field.name)} is missing.")
                values[field.name] = msgspec.UNSET
        return msgspec.UNSET if msgspec.UNSET in values.values() else expected_type(**values)

    def _read_keys(
        self, node: yaml.MappingNode, expected_type: type[msgspec.Struct], path: str
    ) -> dict[str, Node]:
        known = [field.name for field in msgspec.structs.fields(expected_type)]
        children: dict[str, Node] = {}
        for key, child in node.value:
            name = str(key.value)
            if name not in known:
                self._add_at_node(
                    key, f"{_join(path, name)} is not a known field.{suggest(name, known)}"
                )
            elif name in children:
                self._add_at_node(key, f"{_join(path, name)} is given twice.")
            else:
                children[name] = child
        return children

    def _read_scalar(
        self, node: Node, expected_type: Any, path: str, rule: FieldRule | None
    ) -> Any:
        allowed = "a value" if rule is None else rule.allowed
        if not isinstance(node, yaml.ScalarNode):
            self._add_at_node(node, f"{path} must be a single value; allowed: {allowed}.")
            return msgspec.UNSET
        try:
            value = msgspec.convert(self._constructor.construct_object(node), expected_type)
        except (msgspec.ValidationError, ValueError, yaml.YAMLError):
            value = msgspec.UNSET
        if value is msgspec.UNSET or (rule is not None and not rule.is_allowed(value)):
            self._add_at_node(node, f"{path} is {node.value!r}; allowed: {allowed}.")
            return msgspec.UNSET
        return value

    def _add_at_node(self, node: Node, message: str) -> None:
        mark = node.start_mark
        self.errors.append(DocumentError(mark.line + 1, mark.column + 1, message))


def suggest(name: str, known: Iterable[str]) -> str:
    """Return a suggestion of the most similar known name, or an empty text."""
    close = difflib.get_close_matches(name, list(known), n=1)
    return f" Did you mean {close[0]!r}?" if close else ""


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
