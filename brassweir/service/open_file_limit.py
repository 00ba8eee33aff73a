"""The limit on open files: read at start, raised as far as a user may, or refused."""

from __future__ import annotations

import resource

from brassweir.config.load import ConfigError
from brassweir.config.model import Config

SPARE = 64  # descriptors for files, the loop, threads and logs


def descriptors_needed(config: Config) -> int:
    """Descriptors that the settings can come to use."""
    sources = config.forward.connections if config.forward is not None else 0
    return config.limits.connections + config.sender.connections + sources + SPARE


def plan_soft_limit(need: int, soft: int, hard: int) -> int:
    """The soft limit to set. Raises ConfigError if even the hard limit is too low."""
    if need <= soft:
        return soft
    if need <= hard:
        return need
    raise ConfigError(
        [
            f"limits.connections, sender.connections and forward.connections need {need} open files and "
            f"this process may have {hard}: set the limit to {need} (ulimit -n {need}) or lower them by "
            f"{need - hard}"
        ]
    )


def raise_soft_limit(config: Config) -> None:
    """Make sure that the settings can be carried. Raises ConfigError."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    unlimited = 1 << 62
    wanted = plan_soft_limit(
        descriptors_needed(config), unlimited if soft < 0 else soft, unlimited if hard < 0 else hard
    )
    if soft >= 0 and wanted != soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
