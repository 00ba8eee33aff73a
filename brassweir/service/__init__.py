"""One sender process: wired together from its settings, reloaded, drained and stopped."""
