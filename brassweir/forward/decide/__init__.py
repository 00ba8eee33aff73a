"""Decisions of the Forward protocol as pure code: read scheduling, routing, replies and batching."""
