"""Decisions on which job runs where and when."""
