"""Endpoint configuration, carried to the whole fleet as versioned changes of the agreed log."""
