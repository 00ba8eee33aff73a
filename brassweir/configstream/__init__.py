"""Distributes the endpoint configuration to all processes as versioned changes of the replicated log."""
