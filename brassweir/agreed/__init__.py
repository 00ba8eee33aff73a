"""Replicated log of a group of copies: the pure consensus core, its durable state, and its runner."""
