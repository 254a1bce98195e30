"""Errors in a configuration file and their positions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class DocumentError:
    """One error in a configuration file.

    Parameters
    ----------
    line, column
        Position in the file, counted from 1.
    message
        Description of the error and of the allowed values.
    """

    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"line {self.line}, column {self.column}: {self.message}"


@dataclass(frozen=True)
class ConfigurationErrors:
    """The errors of an invalid configuration file.

    Parameters
    ----------
    errors
        All errors, in the order of the file.
    """

    errors: tuple[DocumentError, ...]

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)
