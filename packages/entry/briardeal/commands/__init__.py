"""Implementations of the commands."""
