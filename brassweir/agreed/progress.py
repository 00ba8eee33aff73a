"""What a leader knows of a copy that it replicates to; whether entries that came may be taken. Pure."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from brassweir.agreed.log import decode_membership
from brassweir.agreed.messages import MEMBERS, Entry


@dataclass
class Progress:
    """What a leader knows of one copy that it replicates to."""

    member: str  # "" until a learner has answered
    next_index: int  # first entry not sent
    match_index: int = 0  # last entry known to be durable there
    answered_round: int = 0  # latest round it answered
    in_flight: int = 0  # messages with entries, unanswered
    sent_at: float = -1e18
    heard_at: float = -1e18
    commit_sent: int = -1  # what was last told to be agreed
    rewound_to: int = 0  # where it was last gone back to, and when
    rewound_at: float = -1e18
    until: float = 0.0  # a learner's: when its admission is given up


def in_order(first: int, entries: tuple[Entry, ...]) -> bool:
    """Are these the entries from ``first`` on, and can they be read?"""
    try:
        readable = all(decode_membership(entry).voters for entry in entries if entry.kind == MEMBERS)
    except msgspec.MsgspecError:
        return False
    return readable and all(entry.index == first + i for i, entry in enumerate(entries))
