"""Who vouches for the endpoint list: whether a first byte may leave on what is known of it. Pure.

=============  ===========================================================  ==================
state          what it rests on                                             may calls begin?
=============  ===========================================================  ==================
unconfirmed    a list of before; the agent was asked and has not answered   no
confirmed      an open watch, confirmed since it was opened                 yes
unreachable    the last list told; the agent has been silent for the hold   yes
=============  ===========================================================  ==================

What the agent has counts as told, also to a process that has just begun and to one whose watch was cut.
So nothing begins until it has answered. While discovery is down the agent is silent and learns nothing:
then the last list that was told is all there is to know, and service goes on with it. The hold is how
long silence must last to be taken for that. An agent that is up answers at once; one that is slow has the
hold to do so.
"""

from __future__ import annotations

from enum import Enum

HOLD = 2.0  # seconds of silence after which discovery counts as down
HOLD_SHARE = 0.25  # of the shortest deadline: what is held back must still be delivered in time
LEAST = 0.25  # seconds in which a fresh request may be answered, however long the agent was silent before


class ListState(Enum):
    """Who vouches for the list."""

    UNCONFIRMED = "unconfirmed"
    CONFIRMED = "confirmed"
    UNREACHABLE = "unreachable"


class Knowledge:
    """The state, from a process's first moment on. Times are seconds of one clock."""

    def __init__(self, now: float, shortest_deadline: float) -> None:
        self.hold = min(HOLD, HOLD_SHARE * shortest_deadline)
        self.state = ListState.UNCONFIRMED
        self.since = now
        self.gives_up_at = now + self.hold  # when silence is taken for an outage, while unconfirmed

    @property
    def usable(self) -> bool:
        """May calls begin?"""
        return self.state is not ListState.UNCONFIRMED

    def confirmed(self, now: float) -> None:
        """A watch has answered: nothing that the agent has is unknown here."""
        self._enter(ListState.CONFIRMED, now)

    def lost(self, now: float, heard: float) -> None:
        """No watch is confirmed any more; ``heard`` is when its agent last gave a sign of life."""
        self._enter(ListState.UNCONFIRMED, now)
        self.gives_up_at = max(heard + self.hold, now + min(LEAST, self.hold))

    def look(self, now: float) -> None:
        """Time has passed."""
        if self.state is ListState.UNCONFIRMED and now >= self.gives_up_at:
            self._enter(ListState.UNREACHABLE, now)

    def _enter(self, state: ListState, now: float) -> None:
        if state is not self.state:
            self.state, self.since = state, now
