"""The command line: commands only, no logic."""
