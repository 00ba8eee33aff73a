"""Connects one copy with its peers: the UDP port between copies and, if configured, the agreed log.

Imported only where the settings name peers. A failure here never stops delivery; it only lets leases expire.
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
from brassweir.service.keyfiles import load_peer_keys
from brassweir.service.region_ownership import RegionOwnership

if TYPE_CHECKING:
    from brassweir.service.agreed_log import AgreedLog
    from brassweir.service.version_follower import Follower


class PeerGroup:
    """One copy's connection to its peers."""

    def __init__(
        self,
        config: CopyConfig,
        base: Path,
        region: RegionOwnership | None,
        metrics: Metrics,
        note: Callable[[str, dict[str, object]], None],
        follower: Follower | None = None,
    ) -> None:
        """``follower`` puts versions of the endpoint configuration in force here, if the settings use them.

        Raises ConfigError with all problems of the copies' file and the keys.
        """
        assert config.peers is not None
        self.config, self.base, self.note = config, base, note
        self.copies, keys = self._read_files(config)
        self.me = own_entry(self.copies, config)
        self.port = PeerPort(
            self.me.name, _peer_copies(self.copies), keys, config.peers.listen or self.me.address
        )
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

    def _read_files(self, config: CopyConfig) -> tuple[tuple[CopyModel, ...], list[bytes]]:
        """Read the copies' file and the shared keys. Raises ConfigError with all problems at once."""
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
            keys = load_peer_keys(config.peers, self.base)
        except ConfigError as error:
            problems += error.problems
        if problems:
            raise ConfigError(problems)
        return copies, keys

    async def start(self) -> dict[str, object]:
        """Listen and join the agreed log; return fields for the log event ``started``.

        Raises OSError and ConfigError.
        """
        await self.port.start()
        fields: dict[str, object] = {"peers_port": self.port.listen[1]}
        if self.agreed is not None:
            await self.agreed.start()
        return fields

    def reload(self, config: CopyConfig) -> None:
        """Read copies, keys, voters and the next epoch again. Bad files are logged and change nothing."""
        if config.sender.name != self.me.name or config.peers is None:
            self.note("peers_refused", {"problems": ["sender.name or peers: another one needs a restart"]})
            return
        try:
            copies, keys = self._read_files(config)
        except ConfigError as error:
            self.note("peers_refused", {"problems": error.problems[:20]})
            return
        removed = {copy.name for copy in self.copies} - {copy.name for copy in copies}
        self.copies = copies
        self.port.reload(_peer_copies(copies), keys)
        self.note("peers_taken", {"copies": len(copies), "gone": sorted(removed)})
        if self.agreed is not None:
            self.agreed.reload(config, copies, removed)

    def state(self) -> dict[str, Any]:
        """Return the state shown at ``/peers``: this copy and what it believes of the others."""
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
        """Return the values of the ``brassweir_peers`` gauges: traffic, and copies by state."""
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
        """Transfer leadership of the agreed log before this process stops; it goes on following."""
        if self.agreed is not None:
            self.agreed.hand_over()

    def abort(self) -> None:
        """Stop at once, without telling the other copies."""
        if self.agreed is not None:
            self.agreed.abort()
        if self.port.transport is not None:
            self.port.transport.abort()

    async def stop(self) -> None:
        """Leave the agreed log and close the port."""
        if self.agreed is not None:
            await self.agreed.stop()
        await self.port.stop()


def _peer_copies(copies: tuple[CopyModel, ...]) -> list[Copy]:
    return [Copy(copy.name, copy.site, copy.region, copy.address) for copy in copies]
