"""Raises the limit on open files (RLIMIT_NOFILE) at start as far as the settings need."""

from __future__ import annotations

import resource

from brassweir.config.load import ConfigError
from brassweir.config.model import Config

RESERVED_DESCRIPTORS = 64  # for files, the event loop, threads and logs


def descriptors_needed(config: Config) -> int:
    """Return the most descriptors that a process with these settings can use."""
    sources = config.forward.connections if config.forward is not None else 0
    return config.limits.connections + config.sender.connections + sources + RESERVED_DESCRIPTORS


def plan_soft_limit(needed: int, soft: int, hard: int) -> int:
    """Return the soft limit to set. Raises ConfigError if even the hard limit is too low."""
    if needed <= soft:
        return soft
    if needed <= hard:
        return needed
    raise ConfigError(
        [
            f"limits.connections, sender.connections and forward.connections need {needed} open files and "
            f"this process may have {hard}: set the limit to {needed} (ulimit -n {needed}) or lower them by "
            f"{needed - hard}"
        ]
    )


def raise_soft_limit(config: Config) -> None:
    """Raise the soft limit as far as the settings need. Raises ConfigError if the hard limit is too low."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    unlimited = 1 << 62
    new_soft = plan_soft_limit(
        descriptors_needed(config), unlimited if soft < 0 else soft, unlimited if hard < 0 else hard
    )
    if soft >= 0 and new_soft != soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (new_soft, hard))
