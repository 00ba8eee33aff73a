"""Guards of the endpoint configuration that can be taken out of a copy, to see that the judge sees it."""

from __future__ import annotations

from typing import Any


def version_not_checked() -> None:
    """A change is taken whatever version it was made from, and whatever it leads to."""
    from brassweir.agreed.commands import Result
    from brassweir.configstream.delta import unpack
    from brassweir.configstream.machine import ConfiguredMachine

    def change(self: ConfiguredMachine, index: int, given: Any, body: bytes) -> Result:
        there, delta = self.configuration, unpack(body)
        removed = [name for name in delta.removed if there.catalog.get(name) is not None]
        there.catalog = there.catalog.apply(delta.changed, removed).catalog
        there.version, there.by = index, given.by
        return Result(True, index)

    ConfiguredMachine._apply_change = change  # type: ignore[method-assign]


def half_a_version() -> None:
    """Of a version of several commands only the first half of the entries takes effect."""
    from brassweir.agreed.commands import Result
    from brassweir.configstream.commands import Commit
    from brassweir.configstream.delta import unpack
    from brassweir.configstream.machine import ConfiguredMachine

    right = ConfiguredMachine._apply_change

    def change(self: ConfiguredMachine, index: int, given: Any, body: bytes) -> Result:
        there = self.configuration
        if not isinstance(given, Commit) or given.after != there.version:
            return right(self, index, given, body)
        changed = unpack(body).changed
        there.catalog = there.catalog.apply(changed[: len(changed) // 2], ()).catalog
        there.staging.clear()
        there.version, there.by = index, given.by
        return Result(True, index)

    ConfiguredMachine._apply_change = change  # type: ignore[method-assign]


def nothing_checked() -> None:
    """No entry is validated, and nothing has to be confirmed."""
    from brassweir.configstream import validation
    from brassweir.service import editedlist

    validation.validate = lambda entry: None  # type: ignore[attr-defined]
    validation._check_removed = lambda *given: None
    validation._check_unserved = lambda *given: None
    editedlist.validate = lambda entry: None  # type: ignore[attr-defined]


def snapshots_without() -> None:
    """A copy that catches up by a snapshot, or starts from one, keeps the configuration it had."""
    from brassweir.configstream.machine import ConfiguredMachine

    right = ConfiguredMachine.restore

    def restore(self: ConfiguredMachine, data: bytes) -> None:
        before = self.configuration
        right(self, data)
        self.configuration = before

    ConfiguredMachine.restore = restore  # type: ignore[method-assign]


GUARDS = {
    "version": version_not_checked,
    "switch": half_a_version,
    "check": nothing_checked,
    "catchup": snapshots_without,
}
