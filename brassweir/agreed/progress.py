"""The leader's replication progress at a copy, and the check of received entries. Pure."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from brassweir.agreed.log import decode_membership
from brassweir.agreed.messages import MEMBERS, Entry


@dataclass
class Progress:
    """What the leader knows of one copy that it replicates to. Times are monotonic ms."""

    member: str  # "" until a learner has answered
    next_index: int  # first entry not sent
    match_index: int = 0  # last entry known to be durable there
    answered_round: int = 0  # latest heartbeat round it answered
    in_flight: int = 0  # unanswered messages with entries
    sent_at: float = -1e18
    heard_at: float = -1e18
    commit_sent: int = -1  # commit index that was sent last
    rewound_to: int = 0  # index of the last step back, and when it was taken
    rewound_at: float = -1e18
    admission_deadline: float = 0.0  # a learner's: when its admission as a voter is abandoned


def in_order(first: int, entries: tuple[Entry, ...]) -> bool:
    """Whether these are the entries from ``first`` on, with memberships that can be decoded."""
    try:
        readable = all(decode_membership(entry).voters for entry in entries if entry.kind == MEMBERS)
    except msgspec.MsgspecError:
        return False
    return readable and all(entry.index == first + i for i, entry in enumerate(entries))
