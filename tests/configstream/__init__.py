"""Tests of the endpoint configuration as versioned changes."""
