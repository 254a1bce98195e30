"""A run of the whole system on this machine, told in plain words."""
