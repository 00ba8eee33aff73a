"""Parses the JSON configuration of a sender on the platform. Pure.

The nested settings are flattened into the simulator's dotted names, so that the adapter's parser reads both.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from brassweir.adapter import Fields, WireError, read_settings
from brassweir.interface import Settings, SettingsError
from brassweir.relay.endpoint_list import Change, ListError, is_address, validate

DEFAULT_DRAIN_GRACE_MS = 250.0  # the shortest of all deployments


class NodeConfigError(ValueError):
    """The configuration is invalid; the message names the field."""


class ResourceLimits(msgspec.Struct):
    """Resources that the process may use."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024
    disk_mb: float = 3.0


class _ConfigFile(msgspec.Struct):
    name: str
    listen: str
    discovery: str
    seed: str
    settings: dict[str, Any]
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)
    known: Change | None = None


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The configuration of one sender on the platform. Addresses are ``host:port``."""

    name: str
    listen: str
    discovery: str
    seed: int
    limits: ResourceLimits
    known: Change | None
    settings: Settings
    drain_grace: float = 0.25  # seconds within which calls to a draining endpoint must cease

    @property
    def shortest_deadline(self) -> float:
        """The shortest deadline of all classes, in seconds."""
        return min(cls.deadline for cls in self.settings.classes) / 1000.0

    @property
    def longest_deadline(self) -> float:
        """The longest deadline of all classes, in seconds.

        It limits a shutdown: no queued message can use more time, and platforms with short deadlines kill
        sooner.
        """
        return max(cls.deadline for cls in self.settings.classes) / 1000.0


def parse_config(data: bytes) -> NodeConfig:
    """Parse the configuration file's content. Raises NodeConfigError."""
    try:
        file = msgspec.json.decode(data, type=_ConfigFile)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise NodeConfigError(str(error)) from None
    for field, value in (("listen", file.listen), ("discovery", file.discovery)):
        if not is_address(value):
            raise NodeConfigError(f"{field}: {value!r} is not an IPv4 address and port")
    limits = file.limits
    if limits.sockets < 32 or limits.disk_mb <= 0 or limits.memory_mb <= 0:
        raise NodeConfigError("limits: sockets, disk_mb or memory_mb is too small")
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise NodeConfigError(f"seed: {file.seed!r} is not a hexadecimal number") from None
    try:
        known = validate(file.known) if file.known is not None else None
        pairs = [f"{name}={value}" for name, value in flatten(file.settings)]
        settings = read_settings(Fields("settings", pairs))
        # Fixed by the HTTP protocol: a call carries one message, and endpoints accept few connections.
        kinds = tuple(replace(kind, batch=1) for kind in settings.kinds)
        settings = replace(settings, kinds=kinds, few_connections=True)
    except (ListError, WireError, SettingsError, RecursionError) as error:
        raise NodeConfigError(str(error)) from None
    grace = _drain_grace(file.settings)
    return NodeConfig(file.name, file.listen, file.discovery, seed, limits, known, settings, grace)


def _drain_grace(settings: dict[str, Any]) -> float:
    """Return ``Rules.DrainGrace`` or its default, in seconds. Raises NodeConfigError."""
    rules = settings.get("Rules")
    grace = (
        rules.get("DrainGrace", DEFAULT_DRAIN_GRACE_MS) if isinstance(rules, dict) else DEFAULT_DRAIN_GRACE_MS
    )
    if isinstance(grace, bool) or not isinstance(grace, int | float) or not 0.0 < grace < 1e6:
        raise NodeConfigError(f"settings: Rules.DrainGrace: {grace!r} is not a number of milliseconds")
    return float(grace) / 1000.0


def flatten(tree: dict[str, Any], prefix: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested values as the simulator's dotted names and texts.

    A list of plain values becomes one text joined by commas. A list of objects becomes ``name.count`` and
    ``name.0.field`` and so on. Nulls are left out.
    """
    for name, value in tree.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            yield from flatten(value, path + ".")
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            yield f"{path}.count", str(len(value))
            for i, item in enumerate(value):
                if isinstance(item, dict):
                    yield from flatten(item, f"{path}.{i}.")
        elif isinstance(value, list):
            yield path, ",".join(_to_text(item) for item in value)
        elif value is not None:
            yield path, _to_text(value)


def _to_text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))  # some JSON writers give every number a fraction
    return str(value)
