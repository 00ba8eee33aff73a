"""Parses the URLs of endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import SplitResult, urlsplit

DEFAULT_PORTS = {"http": 80, "https": 443, "forward": 24224}  # by URL scheme


@dataclass(frozen=True, slots=True)
class Address:
    """Host, port and request target of an endpoint."""

    host: str
    port: int
    target: str
    tls: bool

    @staticmethod
    def parse(url: str) -> Address:
        """Parses a URL. Raises ValueError with the reason."""
        parts: SplitResult = urlsplit(url)
        if parts.scheme not in DEFAULT_PORTS or not parts.hostname:
            raise ValueError(f"{url!r} is not an http, https or forward URL with a host")
        if parts.username or parts.password or parts.fragment:
            raise ValueError(f"{url!r} may not contain a user, password or fragment")
        if any(char <= " " or char == "\x7f" for char in url):
            raise ValueError(f"{url!r} contains a space or control character")
        tls = parts.scheme == "https"
        target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
        return Address(parts.hostname, parts.port or DEFAULT_PORTS[parts.scheme], target, tls)
