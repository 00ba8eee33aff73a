"""A running sender with one AS2 partner, and helpers that post valid and invalid messages to it."""

from __future__ import annotations

import asyncio
from pathlib import Path

from brassweir.as2 import mdn, message, mime
from brassweir.as2.message import Security
from brassweir.as2.sending import post, prepare_message
from brassweir.core.offload import Offload
from brassweir.core.ports import Payload
from brassweir.lab.models.desk import Manner
from brassweir.lab.rigs.fleet import HUB, Fleet
from brassweir.lab.rigs.local import LocalSender
from brassweir.lab.rigs.plan import FleetPlan
from brassweir.net.client import Address, HttpPool, Reply
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from tests.conftest import identity

OFFICE = "office 1"


class RunningSender:
    """A running sender, with methods to post to it."""

    def __init__(self, fleet: Fleet, sender: LocalSender) -> None:
        self.fleet, self.sender = fleet, sender
        self.url = f"http://127.0.0.1:{sender.port}/as2"
        self.hub = identity(HUB).certificate
        self.offload = Offload(1)

    async def post(self, fields: dict[str, str], body: bytes = b"x", url: str = "") -> Reply:
        pool = HttpPool(Address.parse(url or self.url), Limits(), 1, 100.0, 1000.0)
        try:
            return await pool.post(
                Headers(list(fields.items())), body, asyncio.get_running_loop().time() + 5.0
            )
        finally:
            pool.close_idle()

    async def send_valid(self, ident: str, wait: int = 5) -> str:
        """Post a valid message and return the answer in its receipt."""
        sent = prepare_message(
            identity(OFFICE),
            "bank",
            self.hub,
            Payload("application/json", b'{"payment":"p-1","effect":"safe"}', "status p-1"),
            ident,
            wait=wait,
        )
        pool = HttpPool(Address.parse(self.url), Limits(), 1, 100.0, 1000.0)
        try:
            outcome = await post(pool, sent, self.hub, asyncio.get_running_loop().time() + 5.0, self.offload)
            return outcome.answer
        finally:
            pool.close_idle()

    async def receipt_modifier(self, reply: Reply, signed: bool = True) -> str:
        """Return the error modifier of a receipt, which is signed unless there is no common digest."""
        assert reply.status == 200
        got = mdn.parse(mime.of_http(reply.headers.first("content-type"), "", reply.body), [self.hub])
        assert (got.signer is not None) == signed and got.disposition.severity in ("error", "failure")
        return got.disposition.modifier


async def start_sender(folder: Path) -> RunningSender:
    fleet = Fleet(
        folder,
        FleetPlan(clients=1, async_clients=0, partners={"bank": Manner()}, drain_grace=1.0),
        1,
        lambda name, path, port: LocalSender(name, path, port),
    )
    await fleet.set_up()
    sender = fleet.senders[0]
    assert isinstance(sender, LocalSender)
    return RunningSender(fleet, sender)


def fields(**more: str) -> dict[str, str]:
    base = {
        "AS2-Version": "1.2",
        "AS2-From": f'"{OFFICE}"',
        "AS2-To": "bank",
        "Message-ID": "<m@o>",
        "Subject": "status p-1",
        "Content-Type": "text/plain",
        "Disposition-Notification-To": "me",
        "Disposition-Notification-Options": "signed-receipt-protocol=required, pkcs7-signature; signed-receipt-micalg=required, sha-256",
    }
    return {**base, **{name.replace("_", "-"): value for name, value in more.items()}}


def build_message(
    payload: bytes = b"{}", *, who: str = OFFICE, security: Security | None = None
) -> message.Built:
    return message.build(
        Payload("application/json", payload), security or Security(), identity(who), identity(HUB).certificate
    )
