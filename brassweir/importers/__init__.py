"""Converts other programs' configuration files into endpoint lists."""
