"""Socket addresses of the other copies; host names are resolved without blocking, again at each new list."""

from __future__ import annotations

import asyncio
import socket
from ipaddress import ip_address

from brassweir.peers.copies import Fleet


class Addresses:
    """``by_name``: the socket address of each copy; one whose host name is not resolved yet has none."""

    def __init__(self, fleet: Fleet) -> None:
        self.by_name: dict[str, tuple[str, int]] = {}
        self.set_fleet(fleet)

    def set_fleet(self, fleet: Fleet) -> None:
        """Replace the list. IP addresses hold at once; a host name keeps its old address until resolved."""
        self.wanted = {copy.name: copy.host_port() for copy in fleet.others}
        self.by_name = {name: address for name, address in self.by_name.items() if name in self.wanted}
        for name, (host, port) in self.wanted.items():
            if is_ip_address(host):
                self.by_name[name] = (host, port)

    async def resolve(self, loop: asyncio.AbstractEventLoop) -> None:
        """Resolve all host names; one that fails to resolve keeps the address it had."""
        for name, (host, port) in list(self.wanted.items()):
            if is_ip_address(host):
                continue
            try:
                found = await loop.getaddrinfo(host, port, type=socket.SOCK_DGRAM)
            except OSError:
                continue
            if found and self.wanted.get(name) == (host, port):
                address = found[0][4]
                self.by_name[name] = (str(address[0]), int(address[1]))


def is_ip_address(host: str) -> bool:
    """Whether ``host`` is an IP address rather than a name."""
    try:
        ip_address(host)
    except ValueError:
        return False
    return True
