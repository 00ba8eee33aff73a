"""Forward in a process: its front, its shared keys, its undelivered store, and its carriers."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from brassweir.config.load import ConfigError
from brassweir.config.model import ForwardModel
from brassweir.core.engine import Engine
from brassweir.core.ledger import Waiter
from brassweir.core.ports import Carrier, Submission
from brassweir.forward.carrier import ForwardCarrier
from brassweir.forward.front import ForwardFront
from brassweir.forward.ports import Source
from brassweir.observe.metrics import Metrics
from brassweir.service.connector import ConnectorContext, Note
from brassweir.service.keyfiles import credentials, secret_line
from brassweir.service.wiring import bounds, tag_rules
from brassweir.undelivered.item import UndeliveredItem
from brassweir.undelivered.store import UndeliveredStore


class KeyFiles:
    """Shared keys and passwords as files, read again when they change: connections that stand keep standing,
    new ones need the new key. A file that cannot be read keeps its last good content."""

    def __init__(self, config: ForwardModel, base: Path, note: Note) -> None:
        """Raises ConfigError where one cannot be read at start."""
        self.note = note
        self.files: dict[Path, tuple[tuple[int, int, int], bytes]] = {}
        self.of: dict[str, tuple[Path, ...]] = {}
        self.users: dict[str, dict[str, Path]] = {}
        problems: list[str] = []
        for source in config.sources:
            self.of[source.name] = tuple(base / path for path in source.shared_keys)
            self.users[source.name] = {user.username: base / user.password for user in source.users}
            for path in (*self.of[source.name], *self.users[source.name].values()):
                try:
                    self.files[path] = (self._identity(path), secret_line(path, f"forward: {source.name}"))
                except ConfigError as error:
                    problems += error.problems
                except OSError as error:
                    problems.append(f"forward: {source.name}: {path}: {error.strerror or error}")
        if problems:
            raise ConfigError(problems)

    @staticmethod
    def _identity(path: Path) -> tuple[int, int, int]:
        stat = path.stat()
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def _content(self, path: Path) -> bytes:
        seen, content = self.files[path]
        try:
            now = self._identity(path)
            if now != seen:
                content = secret_line(path, "forward")
                self.files[path] = (now, content)
                self.note("key_changed", {"path": str(path)})
        except (OSError, ConfigError) as error:
            self.note("key_unreadable", {"path": str(path), "error": str(error)})
        return content

    def keys(self, source: str) -> tuple[bytes, ...]:
        """The shared keys of a source, as they are now."""
        return tuple(self._content(path) for path in self.of.get(source, ()))

    def password(self, source: str, username: str) -> bytes | None:
        """The password of a user of a source."""
        path = self.users.get(source, {}).get(username)
        return self._content(path) if path is not None else None

    def needs_user(self) -> bool:
        """The settings give all sources users, or none."""
        return any(self.users.values())


class ThreadedUndeliveredStore:
    """The undelivered store on a thread of its own."""

    def __init__(self, kept: UndeliveredStore) -> None:
        self.kept = kept
        self.pool = ThreadPoolExecutor(1, thread_name_prefix="kept")

    async def __call__(self, item: UndeliveredItem) -> None:
        """Keep a message. Raises OSError."""
        await asyncio.get_running_loop().run_in_executor(self.pool, self.kept.save, item)

    def close(self) -> None:
        """End the thread, once all is written."""
        self.pool.shutdown(wait=True)


class _Counts:
    """The front's metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def chunk(self, mode: str, entries: int, size: int) -> None:
        """A chunk was read."""
        self.metrics.chunks.labels(mode).inc()
        self.metrics.chunk_events.inc(entries)
        self.metrics.chunk_bytes.inc(size)

    def told(self, what: str) -> None:
        """A source was told so."""
        self.metrics.forward_answers.labels(what).inc()

    def held(self, held: int, waiting: int, connections: int) -> None:
        """What the front holds."""
        self.metrics.forward_buffered.set(held)
        self.metrics.forward_waiting.set(waiting)
        self.metrics.forward_connections.set(connections)


def undelivered_directory(config: ForwardModel, sender: str, base: Path) -> Path:
    """Where undelivered chunks are."""
    return base / (config.kept or Path(f"{sender}.kept"))


class ForwardConnector:
    """Sources and destinations over forward. Raises ConfigError where a key or directory cannot be used."""

    def __init__(self, parts: ConnectorContext) -> None:
        config = parts.config
        sender = config.sender
        self.parts = parts
        self.carriers: Mapping[str, Carrier] = {
            kind.name: ForwardCarrier(
                parts.endpoints,
                parts.pools,
                credentials(kind, sender.name, parts.base),
                parts.offload,
                parts.note,
                batch=kind.batch,
                tag=kind.tag,
                compress=kind.compress,
                linger=sender.linger_ms,
            )
            for kind in config.kinds
            if kind.carrier == "forward"
        }
        self.front: ForwardFront | None = None
        self.keeps: ThreadedUndeliveredStore | None = None
        self.port = 0
        if config.forward is not None:
            self.files = KeyFiles(config.forward, parts.base, parts.note)
            folder = undelivered_directory(config.forward, sender.name, parts.base)
            try:
                self.keeps = ThreadedUndeliveredStore(UndeliveredStore(folder, config.forward.kept_bytes))
            except OSError as error:
                raise ConfigError([f"forward.kept: {folder}: {error.strerror or error}"]) from None

    def create_front(self, engine: Engine) -> None:
        """Make the front, if there is one."""
        config = self.parts.config.forward
        if config is None or self.keeps is None:
            return
        sources = {
            source.name: Source(source.name, tag_rules(source), source.acks == "required")
            for source in config.sources
        }
        self.front = ForwardFront(
            sources,
            self.files,
            config.hostname or self.parts.config.sender.name,
            self.parts.classes,
            self.parts.endpoints.numbers.number,
            engine,
            self.parts.offload,
            self.keeps,
            self.parts.note,
            bounds(config),
            margin=self.parts.config.sender.answer_margin_ms,
            counts=_Counts(self.parts.metrics),
        )

    async def start(self) -> dict[str, object]:
        """Listen."""
        config = self.parts.config.forward
        if config is None or self.front is None:
            return {}
        host, _, port = config.listen.rpartition(":")
        self.port = await self.front.listen(host, int(port), beats=config.heartbeat_udp)
        return {
            "forward_listen": config.listen,
            "forward_port": self.port,
            "forward_sources": len(config.sources),
        }

    def restored_waiter(self, message: int, submission: Submission) -> Waiter | None:
        """Nobody: a source that heard nothing sends its chunk again, and is told then."""
        return None

    def stop_accepting(self) -> None:
        """Read no new chunk."""
        if self.front is not None:
            self.front.stop_taking()

    def drain(self) -> None:
        """Close each connection once its acks are written."""
        if self.front is not None:
            self.front.drain()

    async def flush(self, span: float) -> None:
        """Nothing is owed beyond the connections."""

    @property
    def connections(self) -> int:
        """Connections that stand."""
        return len(self.front.connections) if self.front is not None else 0

    def abort(self) -> None:
        """Drop every connection."""
        if self.front is not None:
            self.front.abort()
        if self.keeps is not None:
            self.keeps.close()
