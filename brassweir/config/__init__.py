"""Reads and checks settings in YAML; reports all errors at once, each with its line and field."""
