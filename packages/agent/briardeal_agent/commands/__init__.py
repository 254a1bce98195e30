"""Implementations of the agent's commands."""
