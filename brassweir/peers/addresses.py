"""Where the datagrams to each copy go: host names looked up beside the loop, again when the file changes."""

from __future__ import annotations

import asyncio
import socket
from ipaddress import ip_address

from brassweir.peers.copies import Fleet


class Addresses:
    """``of``: the socket address by name; a host name that was not found yet has none."""

    def __init__(self, fleet: Fleet) -> None:
        self.of: dict[str, tuple[str, int]] = {}
        self.listed(fleet)

    def listed(self, fleet: Fleet) -> None:
        """Another list. Numbers hold at once; names once they are found, the old address till then."""
        self.wanted = {copy.name: copy.host_port() for copy in fleet.others}
        self.of = {name: at for name, at in self.of.items() if name in self.wanted}
        for name, (host, port) in self.wanted.items():
            if numeric(host):
                self.of[name] = (host, port)

    async def resolve(self, loop: asyncio.AbstractEventLoop) -> None:
        """Look names up; what is not found stays as it was."""
        for name, (host, port) in list(self.wanted.items()):
            if numeric(host):
                continue
            try:
                found = await loop.getaddrinfo(host, port, type=socket.SOCK_DGRAM)
            except OSError:
                continue
            if found and self.wanted.get(name) == (host, port):
                address = found[0][4]
                self.of[name] = (str(address[0]), int(address[1]))


def numeric(host: str) -> bool:
    """Is it an address and no name?"""
    try:
        ip_address(host)
    except ValueError:
        return False
    return True
