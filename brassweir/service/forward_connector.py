"""The forward protocol in a sender process: server, shared keys, undelivered messages and carriers."""

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
from brassweir.service.keyfiles import load_credentials, read_secret
from brassweir.service.wiring import forward_limits, tag_rules
from brassweir.undelivered.item import UndeliveredItem
from brassweir.undelivered.store import UndeliveredStore


class KeyFiles:
    """Shared keys and passwords in files, read again when they change.

    Open connections stay open; new ones need the new key. While a file cannot be read, its last content
    counts.
    """

    def __init__(self, config: ForwardModel, base: Path, note: Note) -> None:
        """Read all files. Raises ConfigError with all files that cannot be read."""
        self.note = note
        self.contents: dict[Path, tuple[tuple[int, int, int], bytes]] = {}
        self.key_paths: dict[str, tuple[Path, ...]] = {}
        self.password_paths: dict[str, dict[str, Path]] = {}
        problems: list[str] = []
        for source in config.sources:
            self.key_paths[source.name] = tuple(base / path for path in source.shared_keys)
            self.password_paths[source.name] = {user.username: base / user.password for user in source.users}
            for path in (*self.key_paths[source.name], *self.password_paths[source.name].values()):
                try:
                    self.contents[path] = (
                        self._file_identity(path),
                        read_secret(path, f"forward: {source.name}"),
                    )
                except ConfigError as error:
                    problems += error.problems
                except OSError as error:
                    problems.append(f"forward: {source.name}: {path}: {error.strerror or error}")
        if problems:
            raise ConfigError(problems)

    @staticmethod
    def _file_identity(path: Path) -> tuple[int, int, int]:
        stat = path.stat()
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def _content(self, path: Path) -> bytes:
        last_identity, content = self.contents[path]
        try:
            identity = self._file_identity(path)
            if identity != last_identity:
                content = read_secret(path, "forward")
                self.contents[path] = (identity, content)
                self.note("key_changed", {"path": str(path)})
        except (OSError, ConfigError) as error:
            self.note("key_unreadable", {"path": str(path), "error": str(error)})
        return content

    def keys(self, source: str) -> tuple[bytes, ...]:
        """Return the current shared keys of a source."""
        return tuple(self._content(path) for path in self.key_paths.get(source, ()))

    def password(self, source: str, username: str) -> bytes | None:
        """Return the current password of a user of a source; None if there is no such user."""
        path = self.password_paths.get(source, {}).get(username)
        return self._content(path) if path is not None else None

    def needs_user(self) -> bool:
        """Whether sources log in with a user name; the settings give users to all sources or to none."""
        return any(self.password_paths.values())


class ThreadedUndeliveredStore:
    """Writes undelivered messages on a thread of its own, so that fsync does not block the loop."""

    def __init__(self, store: UndeliveredStore) -> None:
        self.store = store
        self.pool = ThreadPoolExecutor(1, thread_name_prefix="kept")

    async def __call__(self, item: UndeliveredItem) -> None:
        """Store a message durably. Raises OSError."""
        await asyncio.get_running_loop().run_in_executor(self.pool, self.store.save, item)

    def close(self) -> None:
        """Wait until all messages are written, then end the thread."""
        self.pool.shutdown(wait=True)


class _FrontMetrics:
    """Counts the front's events in the metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def chunk_decoded(self, mode: str, entries: int, size: int) -> None:
        """Count a chunk that was read."""
        self.metrics.chunks.labels(mode).inc()
        self.metrics.chunk_events.inc(entries)
        self.metrics.chunk_bytes.inc(size)

    def replied(self, kind: str) -> None:
        """Count an answer to a source."""
        self.metrics.forward_answers.labels(kind).inc()

    def set_buffered(self, buffered_bytes: int, waiting: int, connections: int) -> None:
        """Set the gauges of buffered bytes, waiting chunks and connections."""
        self.metrics.forward_buffered.set(buffered_bytes)
        self.metrics.forward_waiting.set(waiting)
        self.metrics.forward_connections.set(connections)


def undelivered_directory(config: ForwardModel, sender: str, base: Path) -> Path:
    """Return the directory of undelivered chunks."""
    return base / (config.kept or Path(f"{sender}.kept"))


class ForwardConnector:
    """Serves sources and destinations of the forward protocol.

    Raises ConfigError if a key cannot be read or the directory of undelivered chunks cannot be used.
    """

    def __init__(self, context: ConnectorContext) -> None:
        config = context.config
        sender = config.sender
        self.context = context
        self.carriers: Mapping[str, Carrier] = {
            kind.name: ForwardCarrier(
                context.endpoints,
                context.pools,
                load_credentials(kind, sender.name, context.base),
                context.offload,
                context.note,
                batch=kind.batch,
                tag=kind.tag,
                compress=kind.compress,
                linger_ms=sender.linger_ms,
            )
            for kind in config.kinds
            if kind.carrier == "forward"
        }
        self.front: ForwardFront | None = None
        self.undelivered: ThreadedUndeliveredStore | None = None
        self.port = 0
        if config.forward is not None:
            self.key_files = KeyFiles(config.forward, context.base, context.note)
            directory = undelivered_directory(config.forward, sender.name, context.base)
            try:
                self.undelivered = ThreadedUndeliveredStore(
                    UndeliveredStore(directory, config.forward.kept_bytes)
                )
            except OSError as error:
                raise ConfigError([f"forward.kept: {directory}: {error.strerror or error}"]) from None

    def create_front(self, engine: Engine) -> None:
        """Create the front, if the settings have one."""
        config = self.context.config.forward
        if config is None or self.undelivered is None:
            return
        sources = {
            source.name: Source(source.name, tag_rules(source), source.acks == "required")
            for source in config.sources
        }
        self.front = ForwardFront(
            sources,
            self.key_files,
            config.hostname or self.context.config.sender.name,
            self.context.classes,
            self.context.endpoints.numbers.number,
            engine,
            self.context.offload,
            self.undelivered,
            self.context.note,
            forward_limits(config),
            margin_ms=self.context.config.sender.answer_margin_ms,
            metrics=_FrontMetrics(self.context.metrics),
        )

    async def start(self) -> dict[str, object]:
        """Listen, if there is a front; return fields for the log event ``started``."""
        config = self.context.config.forward
        if config is None or self.front is None:
            return {}
        host, _, port = config.listen.rpartition(":")
        self.port = await self.front.listen(host, int(port), udp_heartbeats=config.heartbeat_udp)
        return {
            "forward_listen": config.listen,
            "forward_port": self.port,
            "forward_sources": len(config.sources),
        }

    def restored_waiter(self, message: int, submission: Submission) -> Waiter | None:
        """Return None: a source without an ack sends its chunk again, and gets its answer then."""
        return None

    def stop_accepting(self) -> None:
        """Read no new chunks."""
        if self.front is not None:
            self.front.stop_accepting()

    def drain(self) -> None:
        """Close each connection once its acks are written."""
        if self.front is not None:
            self.front.drain()

    async def flush(self, span: float) -> None:
        """Do nothing: acks are written on the connections, before :meth:`drain` closes them."""

    @property
    def connections(self) -> int:
        """The number of open client connections."""
        return len(self.front.connections) if self.front is not None else 0

    def abort(self) -> None:
        """Close every connection at once and end the thread of undelivered messages."""
        if self.front is not None:
            self.front.abort()
        if self.undelivered is not None:
            self.undelivered.close()
