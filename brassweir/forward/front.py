"""The server side of the Forward protocol: receives sources' chunks and acks those delivered or stored.

This module authenticates sources and limits what they send. The engine decides the outcome of a chunk, and
decide/answers.py maps that outcome to an ack or a closed connection. See docs/design-forward.md for the
meaning of an ack.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Mapping
from ssl import SSLContext

from brassweir.core.offload import Offload
from brassweir.forward import message
from brassweir.forward.chunks import ChunkDelivery
from brassweir.forward.connection import Connection
from brassweir.forward.decide.answers import Reply, ReplyAction
from brassweir.forward.decide.read_scheduler import ReadScheduler
from brassweir.forward.heartbeat import Heartbeat
from brassweir.forward.message import Message
from brassweir.forward.ports import (
    FrontLimits,
    FrontMetrics,
    NoMetrics,
    Note,
    SaveUndelivered,
    Source,
    Submits,
)
from brassweir.forward.session import Authenticator, Session
from brassweir.forward.undelivered import UndeliveredChunks
from brassweir.interface import MessageClass
from brassweir.undelivered.item import UndeliveredItem


class ForwardFront:
    """Serves sources over TCP.

    ``margin_ms`` is subtracted from each chunk's deadline, so that the ack can still reach the source.
    ``destination_number_of`` maps the name of a destination to its number, or None if it is unknown.
    """

    def __init__(
        self,
        sources: Mapping[str, Source],
        authenticator: Authenticator,
        hostname: str,
        classes: Mapping[str, MessageClass],
        destination_number_of: Callable[[str], int | None],
        engine: Submits,
        offload: Offload,
        save_undelivered: SaveUndelivered,
        note: Note,
        limits: FrontLimits | None = None,
        *,
        margin_ms: float = 100.0,
        metrics: FrontMetrics | None = None,
    ) -> None:
        self.sources, self.authenticator, self.hostname, self.offload = (
            sources,
            authenticator,
            hostname,
            offload,
        )
        self.note, self.limits = note, limits or FrontLimits()
        self.metrics: FrontMetrics = metrics or NoMetrics()
        self.scheduler = ReadScheduler(self.limits.buffered_bytes)
        self.buffer = memoryview(bytearray(self.scheduler.read_slice))
        self.chunks = ChunkDelivery(
            classes,
            destination_number_of,
            engine,
            offload,
            note,
            self.limits,
            margin_ms,
            self.metrics,
            self.scheduler,
        )
        self.undelivered = UndeliveredChunks(save_undelivered, note, self.metrics)
        self.connections: set[Connection] = set()
        self.connection_by_reader: dict[int, Connection] = {}  # by reader id of the scheduler
        self.listener: asyncio.Server | None = None
        self.heartbeat_transport: asyncio.DatagramTransport | None = None
        self.stopping = False
        self.resume_handle: asyncio.Handle | None = None

    async def listen(
        self, host: str, port: int, tls: SSLContext | None = None, *, udp_heartbeats: bool = False
    ) -> int:
        """Start to listen and return the port. Raises OSError.

        With ``udp_heartbeats``, UDP heartbeats are answered on the same port number.
        """
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: self._connection(loop), host, port, ssl=tls, backlog=1024
        )
        port = int(self.listener.sockets[0].getsockname()[1])
        if udp_heartbeats:
            transport, _ = await loop.create_datagram_endpoint(Heartbeat, local_addr=(host, port))
            self.heartbeat_transport = transport
        return port

    def _connection(self, loop: asyncio.AbstractEventLoop) -> Connection:
        session = Session(
            self.authenticator,
            self.hostname,
            secrets.token_bytes(16),
            secrets.token_bytes(16),
            self.limits.chunk_bytes,
        )
        return Connection(self, session, loop)

    def stop_accepting(self) -> None:
        """Stop accepting connections and new chunks; chunks already received or begun are still answered."""
        self.stopping = True
        if self.listener is not None:
            self.listener.close()
        if self.heartbeat_transport is not None:
            self.heartbeat_transport.close()
        for connection in list(self.connections):
            connection.update_reading() if connection.source else connection.drop()

    def drain(self) -> None:
        """Stop accepting, and close each connection once it has no unanswered chunk."""
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Abort every connection at once, without waiting for answers."""
        self.drain()
        for connection in list(self.connections):
            connection.drop()
        if self.resume_handle is not None:
            self.resume_handle.cancel()

    def report_rejection(self, connection: Connection, reason: str) -> None:
        """Count and log a peer's connection or data that is rejected."""
        self.metrics.replied("turned_away")
        self.note(
            "forward_turned_away",
            {"peer": connection.peer, "source": connection.source, "reason": reason[:300]},
        )

    def schedule_resume(self) -> None:
        """Check in the next event loop iteration which paused connections may resume reading."""
        if self.resume_handle is None:
            loop = asyncio.get_running_loop()
            self.resume_handle = loop.call_soon(self._resume_readers)

    def _resume_readers(self) -> None:
        self.resume_handle = None
        loop = asyncio.get_running_loop()
        resumed, recheck_at = self.scheduler.next(loop.time() * 1000.0)
        for reader_id in resumed:
            self.connection_by_reader[reader_id].resume()
        if recheck_at is not None and self.resume_handle is None:
            self.resume_handle = loop.call_at(recheck_at / 1000.0 + 0.001, self._resume_readers)
        waiting = len(self.scheduler.queue) + len(self.scheduler.paused)
        self.metrics.set_buffered(self.scheduler.held_bytes, waiting, len(self.connections))

    async def process_chunk(self, connection: Connection, received: Message, size: int) -> None:
        """Deliver one chunk of ``size`` bytes and ack it, or close the connection."""
        source = self.sources[connection.source]
        charged = [size]

        def on_growth(total: int) -> None:
            if total > charged[0]:
                self.scheduler.chunk_grew(connection.reader_id, total - charged[0])
                charged[0] = total

        try:
            reply = await self.chunks.deliver(source, received, on_growth)
            await self._send_reply(connection, received, reply)
        except Exception as error:  # a fault here must not leave the source waiting
            self.note("forward_fault", {"source": source.name, "error": f"{type(error).__name__}: {error}"})
            connection.close()
        finally:
            self.scheduler.chunk_finished(connection.reader_id, charged[0])
            if (self.stopping or connection.finishing) and len(connection.tasks) <= 1:
                connection.close()
            else:
                self.schedule_resume()

    async def _send_reply(
        self, connection: Connection, received: Message, outcome: tuple[Reply, UndeliveredItem]
    ) -> None:
        reply, item = outcome
        name = connection.source
        if reply.action is ReplyAction.STORE:
            reply = await self.undelivered.keep(reply, item, bool(received.chunk))
        if reply.action is ReplyAction.CLOSE:
            self.scheduler.refused(name, reply.pause_ms, asyncio.get_running_loop().time() * 1000.0)
            self.metrics.replied("closed")
            self.note(
                "forward_closed",
                {
                    "source": name,
                    "tag": received.tag[:200],
                    "chunk": received.chunk,
                    "reason": reply.reason,
                    "pause_ms": round(reply.pause_ms),
                },
            )
            connection.close()
            return
        if received.chunk:
            written = connection.send(message.ack(received.chunk))
            self.metrics.replied("acked" if written else "ack_unheard")
