"""Scheduling of jobs of several steps: storage, election of the owner, planning and execution."""
