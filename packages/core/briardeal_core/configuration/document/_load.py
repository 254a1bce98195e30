"""Reading of the operators' file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import yaml

from briardeal_core.configuration._model import Configuration
from briardeal_core.configuration.document._capacity import check_capacity
from briardeal_core.configuration.document._checks import check_references
from briardeal_core.configuration.document._mistakes import ConfigurationErrors, DocumentError
from briardeal_core.configuration.document._tree import TreeReader

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_core.jobs import WorkerShape

MAX_TEXT_LENGTH = 500_000
"""Longest file, in characters, so that it fits into one append."""


def load_configuration(
    text: str, workers: Sequence[WorkerShape] | None = None
) -> Configuration | ConfigurationErrors:
    """Read a configuration from YAML and check it in whole.

    Parameters
    ----------
    text
        The file.
    workers
        The VMs that exist; guarantees are checked against them when given.

    Returns
    -------
    Configuration | ConfigurationErrors
        The configuration, or every mistake with its place.
    """
    if len(text) > MAX_TEXT_LENGTH:
        return _fail(f"The file has {len(text)} characters; allowed: at most {MAX_TEXT_LENGTH}.")
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        place = (1, 1) if mark is None else (mark.line + 1, mark.column + 1)
        return ConfigurationErrors((DocumentError(*place, f"This is not YAML: {error.problem}."),))
    except yaml.YAMLError as error:
        return _fail(f"This is not YAML: {error}.")
    if root is None:
        return _fail("The file is empty.")
    return _read(root, workers)


def _read(
    root: yaml.Node, workers: Sequence[WorkerShape] | None
) -> Configuration | ConfigurationErrors:
    tree = TreeReader()
    try:
        configuration = tree.read(root, Configuration, "")
    except RecursionError:
        return _fail("The file refers to itself.")
    check_references(tree)
    if workers is not None and configuration is not msgspec.UNSET:
        check_capacity(tree, configuration, workers)
    if tree.mistakes:
        return ConfigurationErrors(tuple(sorted(tree.mistakes)))
    return configuration


def _fail(sentence: str) -> ConfigurationErrors:
    return ConfigurationErrors((DocumentError(1, 1, sentence),))
