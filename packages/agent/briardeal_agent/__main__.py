"""Command line of the agent."""
