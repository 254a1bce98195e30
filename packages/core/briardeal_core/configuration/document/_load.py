"""Loading of the operators' configuration file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import yaml

from briardeal_core.configuration._model import Configuration
from briardeal_core.configuration.document._capacity import check_capacity
from briardeal_core.configuration.document._checks import check_references
from briardeal_core.configuration.document._errors import ConfigurationErrors, DocumentError
from briardeal_core.configuration.document._yaml_reader import YamlReader

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_core.jobs import WorkerShape

MAX_TEXT_LENGTH = 500_000
"""Maximum length of the file, in characters, so that it fits into one append to the log."""


def load_configuration(
    text: str, workers: Sequence[WorkerShape] | None = None
) -> Configuration | ConfigurationErrors:
    """Parse a configuration from YAML and validate it.

    Parameters
    ----------
    text
        Content of the file.
    workers
        The existing VMs; if given, guarantees are checked against their capacity.

    Returns
    -------
    Configuration | ConfigurationErrors
        The configuration, or all errors with their positions.
    """
    if len(text) > MAX_TEXT_LENGTH:
        return _make_errors(
            f"The file has {len(text)} characters; allowed: at most {MAX_TEXT_LENGTH}."
        )
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        position = (1, 1) if mark is None else (mark.line + 1, mark.column + 1)
        return ConfigurationErrors(
            (DocumentError(*position, f"The file is not valid YAML: {error.problem}."),)
        )
    except yaml.YAMLError as error:
        return _make_errors(f"The file is not valid YAML: {error}.")
    except RecursionError:
        return _make_errors("The file is nested too deeply.")
    if root is None:
        return _make_errors("The file is empty.")
    return _read(root, workers)


def _read(
    root: yaml.Node, workers: Sequence[WorkerShape] | None
) -> Configuration | ConfigurationErrors:
    reader = YamlReader()
    try:
        configuration = reader.read(root, Configuration, "")
    except RecursionError:
        return _make_errors("The file refers to itself.")
    check_references(reader)
    if workers is not None and configuration is not msgspec.UNSET:
        check_capacity(reader, configuration, workers)
    if reader.errors:
        return ConfigurationErrors(tuple(sorted(reader.errors)))
    return configuration


def _make_errors(message: str) -> ConfigurationErrors:
    return ConfigurationErrors((DocumentError(1, 1, message),))
