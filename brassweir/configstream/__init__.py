"""Endpoint configuration as numbered versions, carried to all copies by the agreed log."""
