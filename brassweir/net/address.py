"""Where an endpoint is: its URL, read."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import SplitResult, urlsplit

PORTS = {"http": 80, "https": 443, "forward": 24224}  # schemes, and where they are at home


@dataclass(frozen=True, slots=True)
class Address:
    """Where an endpoint is."""

    host: str
    port: int
    target: str
    tls: bool

    @staticmethod
    def parse(url: str) -> Address:
        """Read a URL. Raises ValueError with the reason."""
        parts: SplitResult = urlsplit(url)
        if parts.scheme not in PORTS or not parts.hostname:
            raise ValueError(f"{url!r} is no http, https or forward URL with a host")
        if parts.username or parts.password or parts.fragment:
            raise ValueError(f"{url!r} may hold no user, password or fragment")
        if any(char <= " " or char == "\x7f" for char in url):
            raise ValueError(f"{url!r} holds a space or control character")
        tls = parts.scheme == "https"
        target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
        return Address(parts.hostname, parts.port or PORTS[parts.scheme], target, tls)
