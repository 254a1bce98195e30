"""Demo that runs the whole system on this machine and checks each outcome."""
