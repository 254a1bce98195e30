"""Measured figures, their bounds, and the table in which they are printed."""

from __future__ import annotations

import operator

import attrs

COMPARISONS = {"<=": operator.le, "<": operator.lt, ">=": operator.ge, "==": operator.eq}


@attrs.frozen
class Bound:
    """A limit that a figure must meet.

    Parameters
    ----------
    comparison
        One of `<=`, `<`, `>=`, `==`.
    limit
        The limit, in the unit of the figure.
    """

    comparison: str
    limit: float

    def holds(self, value: float) -> bool:
        """Return whether a value meets the limit."""
        return COMPARISONS[self.comparison](value, self.limit)


@attrs.frozen
class Figure:
    """One measured value.

    Parameters
    ----------
    group
        Group of related figures.
    name
        Name of the measured quantity.
    value
        The measured value.
    unit
        Its unit.
    bound
        The limit; `None` for a figure that is only reported.
    """

    group: str
    name: str
    value: float
    unit: str
    bound: Bound | None = None

    @property
    def passed(self) -> bool:
        """Whether the figure meets its bound."""
        return self.bound is None or self.bound.holds(self.value)


def render_table(figures: list[Figure]) -> str:
    """Return the figures as lines of a table."""
    return "\n".join(_render_row(figure) for figure in figures)


def _render_row(figure: Figure) -> str:
    bound = "" if figure.bound is None else f"{figure.bound.comparison} {figure.bound.limit:g}"
    verdict = "" if figure.bound is None else ("ok" if figure.passed else "FAILED")
    value = f"{figure.value:.4g}"
    return (
        f"{figure.group:<12} {figure.name:<58} {value:>10} {figure.unit:<10} {bound:<12} {verdict}"
    )
