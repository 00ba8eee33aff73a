"""What copies share, in one process: the port to the others, and the agreed log where the settings have it.

Imported only where the settings name peers: all others pay nothing for it. It has no say in delivery: what
fails here lets leases run out, and no more.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from brassweir.config.copies import agreed_directory, own_entry, read_copies
from brassweir.config.load import ConfigError
from brassweir.config.model import CopyConfig, CopyModel
from brassweir.observe.metrics import Metrics
from brassweir.peers.copies import Copy
from brassweir.peers.port import PeerPort
from brassweir.service.keyfiles import peer_keys
from brassweir.service.region_ownership import RegionOwnership

if TYPE_CHECKING:
    from brassweir.service.agreed_log import AgreedLog
    from brassweir.service.version_follower import Follower


class PeerGroup:
    """One copy among others."""

    def __init__(
        self,
        config: CopyConfig,
        base: Path,
        region: RegionOwnership | None,
        metrics: Metrics,
        note: Callable[[str, dict[str, object]], None],
        follower: Follower | None = None,
    ) -> None:
        """``follower``: what puts versions of the endpoint configuration in force here, if anything does.
        Raises ConfigError with all that is wrong with the files that copies share."""
        assert config.peers is not None
        self.config, self.base, self.note = config, base, note
        self.copies, keys = self._read(config)
        self.me = own_entry(self.copies, config)
        self.port = PeerPort(self.me.name, _told(self.copies), keys, config.peers.listen or self.me.address)
        self.states: dict[str, Callable[[], dict[str, Any]]] = {"/peers": self.state}
        metrics.add_gauges(
            "brassweir_peers", "Messages between copies, and copies by what is known of them", self.counts
        )
        self.agreed: AgreedLog | None = None
        if config.agreed is not None:
            from brassweir.service.agreed_log import AgreedLog

            self.agreed = AgreedLog(config, base, self.me, self.copies, self.port, region, note, follower)
            self.states["/agreed"] = self.agreed.state
            metrics.add_gauges("brassweir_agreed", "The agreed log as this copy sees it", self.agreed.counts)
            configuration = self.agreed.configuration
            if configuration is not None:
                self.states["/configuration"] = configuration.state
                metrics.add_gauges(
                    "brassweir_configuration", "The endpoint configuration as seen here", configuration.counts
                )

    def _read(self, config: CopyConfig) -> tuple[tuple[CopyModel, ...], list[bytes]]:
        """The copies' file and the keys. Raises ConfigError, all problems at once."""
        assert config.peers is not None
        problems: list[str] = []
        copies: tuple[CopyModel, ...] = ()
        keys: list[bytes] = []
        try:
            founding = not agreed_directory(config, self.base).exists()
            copies = read_copies(self.base / config.peers.copies, config, founding)
        except ConfigError as error:
            problems += error.problems
        try:
            keys = peer_keys(config.peers, self.base)
        except ConfigError as error:
            problems += error.problems
        if problems:
            raise ConfigError(problems)
        return copies, keys

    async def start(self) -> dict[str, object]:
        """Listen, and take part. Returns what the log is to say. Raises OSError and ConfigError."""
        await self.port.start()
        said: dict[str, object] = {"peers_port": self.port.listen[1]}
        if self.agreed is not None:
            await self.agreed.start()
        return said

    def reload(self, config: CopyConfig) -> None:
        """An operator asks: copies, keys, voters and the next epoch are read again. What is bad changes
        nothing."""
        if config.sender.name != self.me.name or config.peers is None:
            self.note("peers_refused", {"problems": ["sender.name or peers: another one needs a restart"]})
            return
        try:
            copies, keys = self._read(config)
        except ConfigError as error:
            self.note("peers_refused", {"problems": error.problems[:20]})
            return
        gone = {one.name for one in self.copies} - {one.name for one in copies}
        self.copies = copies
        self.port.reload(_told(copies), keys)
        self.note("peers_taken", {"copies": len(copies), "gone": sorted(gone)})
        if self.agreed is not None:
            self.agreed.reload(config, copies, gone)

    def state(self) -> dict[str, Any]:
        """Who is thought to be there, for operators."""
        view = self.port.view()
        return {
            "name": self.me.name,
            "site": self.me.site,
            "region": self.me.region,
            "self_suspected": view.self_suspected,
            "alone": view.alone,
            "cut_off": view.cut_off,
            "copies": dict(sorted(view.states.items())),
            "counts": dict(sorted(self.port.counts.items())),
        }

    def counts(self) -> dict[str, float]:
        """What passed, and how many copies are in which state, for metrics."""
        view = self.port.view()
        states = Counter(view.states.values())
        copies = {f"copies_{name}": states[name] for name in ("alive", "suspected", "dead")}
        return {
            **self.port.counts,
            **copies,
            "bytes_sent": self.port.bytes_sent,
            "bytes_taken": self.port.bytes_taken,
            "self_suspected": view.self_suspected,
        }

    def hand_over(self) -> None:
        """This process is about to stop: let another lead. It goes on following."""
        if self.agreed is not None:
            self.agreed.hand_over()

    def abort(self) -> None:
        """End at once, without a word to anybody."""
        if self.agreed is not None:
            self.agreed.abort()
        if self.port.transport is not None:
            self.port.transport.abort()

    async def stop(self) -> None:
        """End taking part."""
        if self.agreed is not None:
            await self.agreed.stop()
        await self.port.stop()


def _told(copies: tuple[CopyModel, ...]) -> list[Copy]:
    return [Copy(one.name, one.site, one.region, one.address) for one in copies]
