"""Judges: what was seen, and which rules it broke; nothing here knows the code under test."""
