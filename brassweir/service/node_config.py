"""Reads the configuration file that RELAY_CONFIG names."""

from __future__ import annotations

import os
from pathlib import Path

from brassweir.relay.settings import NodeConfig, NodeConfigError, parse_config


def read_config() -> NodeConfig:
    """Read and parse the configuration file. Raises NodeConfigError, which names the file and the field."""
    path = os.environ.get("RELAY_CONFIG", "")
    if not path:
        raise NodeConfigError("RELAY_CONFIG is not set: it names the configuration file")
    try:
        return parse_config(Path(path).read_bytes())
    except OSError as error:
        raise NodeConfigError(f"{path}: {error.strerror or error}") from None
    except NodeConfigError as error:
        raise NodeConfigError(f"{path}: {error}") from None
