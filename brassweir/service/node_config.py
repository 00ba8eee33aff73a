"""Reads the configuration file that RELAY_CONFIG names."""

from __future__ import annotations

import os
from pathlib import Path

from brassweir.relay.settings import NodeConfig, NodeError, read


def configured() -> NodeConfig:
    """Read and parse the configuration file. Raises NodeConfigError, which names the file and the field."""
    path = os.environ.get("RELAY_CONFIG", "")
    if not path:
        raise NodeError("RELAY_CONFIG is not set: it names the configuration file")
    try:
        return read(Path(path).read_bytes())
    except OSError as error:
        raise NodeError(f"{path}: {error.strerror or error}") from None
    except NodeError as error:
        raise NodeError(f"{path}: {error}") from None
