"""Measurements of the system, with bounds derived from the target size."""
