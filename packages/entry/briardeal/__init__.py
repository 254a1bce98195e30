"""The entry process: requests, jobs and the operators' commands."""
