"""The agent process on the VM of an endpoint or worker."""
