"""Opens clients' messages, and remembers which: one that comes again is not opened again."""

from __future__ import annotations

import hashlib
import time
from collections import OrderedDict
from dataclasses import replace
from typing import Protocol

from brassweir.as2 import message, mime, partnership
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mdn import Asked
from brassweir.as2.partnership import Client, Partnerships, valid_now
from brassweir.core.offload import Offload
from brassweir.net.server import Request

_MOST_KNOWN = 20_000  # messages whose bytes need not be opened again when they come again


class Knows(Protocol):
    """The engine, as far as an opener sees it."""

    def knows(self, owner: str, identity: str) -> bool:
        """Would a hand-in join a message, or be told its answer, so that its content is not asked for?"""


class Opener:
    """``most`` bounds a decompressed message in bytes."""

    def __init__(self, book: Partnerships, engine: Knows, offload: Offload, most: int) -> None:
        self.book, self.engine, self.offload, self.most = book, engine, offload, most
        self.known: OrderedDict[tuple[str, str, bytes], message.Received] = OrderedDict()

    async def open(self, request: Request, client: Client, asked: Asked, identity: str) -> message.Received:
        """Unwrap and check a message; bytes that were opened before are not opened again for an answer."""
        headers = request.headers
        digest = hashlib.sha256(request.body).digest()
        name = (client.as2_id, headers.one("content-type"), digest)
        known = self.known.get(name)
        if known is not None and self.engine.knows(client.as2_id, identity):
            self.known.move_to_end(name)
            return known

        def work() -> message.Received:
            trusted = valid_now(client.certificates, time.time())
            if client.signed and not trusted:
                raise As2Error(Modifier.AUTHENTICATION, f"no certificate of {client.as2_id} is valid now")
            entity = mime.of_http(
                headers.one("content-type"), headers.one("content-transfer-encoding"), request.body
            )
            got = message.read(
                entity, self.book.ours, trusted, most=self.most, legacy=client.legacy, digest=asked.micalg
            )
            partnership.secure_enough(client, got)
            return got

        received = await self.offload(work)
        # The document is the ledger's to hold, and taken from the request again where a refused message
        # is handed in anew: here only what a repeated receipt needs.
        kept = replace(received, payload=replace(received.payload, content=b""))
        self.known[name] = kept
        while len(self.known) > _MOST_KNOWN:
            self.known.popitem(last=False)
        return received
