"""What is wrong in a file, and where."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class DocumentError:
    """One mistake.

    Parameters
    ----------
    line, column
        Where it stands, counted from 1.
    message
        What is wrong and what is allowed.
    """

    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"line {self.line}, column {self.column}: {self.message}"


@dataclass(frozen=True)
class ConfigurationErrors:
    """A file that can't be used.

    Parameters
    ----------
    errors
        Every mistake, in the order of the file.
    """

    errors: tuple[DocumentError, ...]

    def __str__(self) -> str:
        return "\n".join(str(mistake) for mistake in self.errors)
