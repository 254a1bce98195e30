"""Rendering of the documentation pages that list events and reasons."""

from briardeal_core.catalogues._pages import render_events, render_reasons

__all__ = ["render_events", "render_reasons"]
