"""Measurements with bounds that come from the stated target."""
