"""Readers of other programs' files, and what their facts mean here."""
