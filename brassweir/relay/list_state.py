"""Decides whether calls may begin on the endpoint list that is known. Pure.

=============  ============================================================  ================
state          the list known                                                calls may begin
=============  ============================================================  ================
unconfirmed    may be out of date: the agent has not answered a request yet  no
confirmed      is current: a watch is open and has answered                  yes
unreachable    is the last one received: the agent is down                   yes
=============  ============================================================  ================

The platform counts a change as known to every sender once its discovery agent has it, also to a sender that
is starting or whose watch was cut. Therefore no call begins until the agent has answered. An agent that is
down learns of no changes, so that the last list received is all there is to know. An agent counts as down
after it has been silent for the outage timeout.
"""

from __future__ import annotations

from enum import Enum

OUTAGE_TIMEOUT_SECONDS = 2.0  # silence after which the agent counts as down
OUTAGE_TIMEOUT_SHARE = 0.25  # of the shortest deadline: leaves time to deliver queued messages
MIN_ANSWER_SECONDS = 0.25  # for the answer to a new request, even after a long silence


class ListState(Enum):
    """How current the endpoint list is."""

    UNCONFIRMED = "unconfirmed"
    CONFIRMED = "confirmed"
    UNREACHABLE = "unreachable"


class ListStateMachine:
    """Tracks the state from the start of the process. Times are in seconds of any one clock."""

    def __init__(self, now: float, shortest_deadline: float) -> None:
        self.outage_timeout = min(OUTAGE_TIMEOUT_SECONDS, OUTAGE_TIMEOUT_SHARE * shortest_deadline)
        self.state = ListState.UNCONFIRMED
        self.since = now
        self.outage_at = now + self.outage_timeout  # while unconfirmed

    @property
    def calls_allowed(self) -> bool:
        """Whether calls may begin."""
        return self.state is not ListState.UNCONFIRMED

    def confirmed(self, now: float) -> None:
        """A watch has answered: the list is current."""
        self._enter(ListState.CONFIRMED, now)

    def lost(self, now: float, last_received: float) -> None:
        """The confirmed watch has ended; ``last_received`` is when the agent was last known to be up."""
        self._enter(ListState.UNCONFIRMED, now)
        self.outage_at = max(
            last_received + self.outage_timeout, now + min(MIN_ANSWER_SECONDS, self.outage_timeout)
        )

    def check_outage(self, now: float) -> None:
        """Enter the state unreachable if the outage timeout has passed."""
        if self.state is ListState.UNCONFIRMED and now >= self.outage_at:
            self._enter(ListState.UNREACHABLE, now)

    def _enter(self, state: ListState, now: float) -> None:
        if state is not self.state:
            self.state, self.since = state, now
