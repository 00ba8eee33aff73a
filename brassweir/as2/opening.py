"""Decrypts and verifies clients' messages, with a cache so that a repeated message is not processed again."""

from __future__ import annotations

import hashlib
import time
from collections import OrderedDict
from dataclasses import replace
from typing import Protocol

from brassweir.as2 import message, mime, partnership
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mdn import ReceiptRequest
from brassweir.as2.partnership import Client, Partnerships, valid_now
from brassweir.core.offload import Offload
from brassweir.net.server import Request

_MAX_CACHED_MESSAGES = 20_000


class KnownMessages(Protocol):
    """The part of the engine that the opener calls."""

    def knows(self, owner: str, identity: str) -> bool:
        """Tells whether a submission would join a known message or get its answer, and needs no content."""


class Opener:
    """Decrypts and verifies messages. ``max_layer_bytes`` limits the bytes of each decompressed layer."""

    def __init__(
        self, partnerships: Partnerships, engine: KnownMessages, offload: Offload, max_layer_bytes: int
    ) -> None:
        self.partnerships, self.engine, self.offload, self.max_layer_bytes = (
            partnerships,
            engine,
            offload,
            max_layer_bytes,
        )
        self.cache: OrderedDict[tuple[str, str, bytes], message.Received] = OrderedDict()

    async def open(
        self, request: Request, client: Client, receipt_request: ReceiptRequest, identity: str
    ) -> message.Received:
        """Unwraps a message and checks it against the agreed security. Raises As2Error.

        A repeat of a message that the engine knows is answered from the cache, with empty content.
        """
        headers = request.headers
        digest = hashlib.sha256(request.body).digest()
        cache_key = (client.as2_id, headers.one("content-type"), digest)
        cached = self.cache.get(cache_key)
        if cached is not None and self.engine.knows(client.as2_id, identity):
            self.cache.move_to_end(cache_key)
            return cached

        def unwrap() -> message.Received:
            trusted = valid_now(client.certificates, time.time())
            if client.signed and not trusted:
                raise As2Error(Modifier.AUTHENTICATION, f"no certificate of {client.as2_id} is valid now")
            entity = mime.of_http(
                headers.one("content-type"), headers.one("content-transfer-encoding"), request.body
            )
            opened = message.read(
                entity,
                self.partnerships.ours,
                trusted,
                max_layer_bytes=self.max_layer_bytes,
                legacy=client.legacy,
                digest=receipt_request.micalg,
            )
            partnership.check_security(client, opened)
            return opened

        result = await self.offload(unwrap)
        # The cache holds only what a repeated receipt needs. The ledger keeps the content; a refused message
        # that is submitted again is unwrapped again.
        without_content = replace(result, payload=replace(result.payload, content=b""))
        self.cache[cache_key] = without_content
        while len(self.cache) > _MAX_CACHED_MESSAGES:
            self.cache.popitem(last=False)
        return result
