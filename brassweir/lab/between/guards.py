"""Guards that can be taken out of a copy, so that the rig is seen to catch what breaks then."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from brassweir.lab.between.configuration_guards import GUARDS as OF_CONFIGURATION


def digest_not_checked() -> None:
    """Every sealed message opens, also one that was spoilt on its way."""
    from brassweir.peers.envelope import Keys

    Keys.verify = lambda self, digest, data: True  # type: ignore[method-assign]


def vote_not_durable() -> None:
    """Terms and votes are not written down: a copy killed after it voted has forgotten that."""
    from brassweir.agreed.core_state import CoreState

    def write_ballot(self: CoreState, term: int, vote: str) -> None:
        self.term, self.vote = term, vote

    CoreState.write_ballot = write_ballot  # type: ignore[method-assign]


def two_decide() -> None:
    """Two voters count as a quorum, also of five."""
    from brassweir.agreed.messages import Membership

    Membership.quorum = property(lambda self: 2)  # type: ignore[assignment,method-assign]


def entries_not_durable() -> None:
    """New entries are acknowledged and not written down."""
    from brassweir.agreed.core_state import CoreState
    from brassweir.agreed.records import LogAppend, Record

    right = CoreState.write

    def write(self: CoreState, record: Record) -> None:
        if not isinstance(record, LogAppend):
            right(self, record)

    CoreState.write = write  # type: ignore[method-assign]


def lease_not_kept() -> None:
    """Grants are used past their lease."""
    from brassweir.regions.ownership import Ownership, OwnershipRefusal, Reason

    right = Ownership.refusal

    def may(self: Ownership, *args: Any) -> OwnershipRefusal | None:
        found = right(self, *args)
        return None if found is not None and found.reason is Reason.LAPSED else found

    Ownership.refusal = may  # type: ignore[method-assign,assignment]


GUARDS: dict[str, Callable[[], None]] = {
    "digest": digest_not_checked,
    "vote": vote_not_durable,
    "quorum": two_decide,
    "entries": entries_not_durable,
    "lease": lease_not_kept,
    **OF_CONFIGURATION,
}


def take_out(name: str) -> None:
    """Take one out of this process. Raises ValueError for a name that is none."""
    if name not in GUARDS:
        raise ValueError(f"{name} is no guard: {', '.join(sorted(GUARDS))}")
    GUARDS[name]()
