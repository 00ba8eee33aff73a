"""What each event of the operators' list does today: rows of the page, with figures of the data filled in."""

from __future__ import annotations

import msgspec


class Event(msgspec.Struct, frozen=True):
    """One row. ``{name}`` in ``at_most`` is a figure in ms, shown in seconds at the target."""

    name: str
    goes_on: str
    refused: str
    late: str
    at_most: str
    shown_by: str


EVENTS: tuple[Event, ...] = (
    Event(
        "one machine lost (a sender)",
        "all other senders; what it had taken is in its journal and goes on at its restart",
        "its clients' connections; they ask another sender",
        "what only it held",
        "shown dead everywhere after {copy_lost_known} s; its messages until it is back, or its disk is",
        "tests/peers/test_liveness.py (deaths_are_known), probe `outages`",
    ),
    Event(
        "one machine lost (the leader of the log)",
        "delivery; all copies read what is agreed",
        "nothing: proposals wait for the next leader",
        "changes and renewals of leases: learners that it fed look for another feeder only after 6 s",
        "{leader_lost_mean} s in the mean, {leader_lost_most} s at most of the trials",
        "tests/agreed/test_world.py, probe `outages`",
    ),
    Event(
        "59 restarts or replacements a day",
        "the others; a planned stop drains, and hands the lead over",
        "new messages at the one that drains (503)",
        "a list from outside has to be there when it starts: the program does not fetch it",
        "alive everywhere again after {zone_back_known} s also if a tenth starts at once",
        "tests/peers/test_liveness.py (a_restarted_copy_is_alive_at_once), tests/service, probe `outages`",
    ),
    Event(
        "a rack or switch (some of one zone)",
        "as with a zone",
        "as with a zone",
        "as with a zone",
        "as with a zone: fewer copies",
        "probe `outages`, by the zone",
    ),
    Event(
        "a zone of 49 senders",
        "the other 441; a vote, if one was there, is replaced by an operator",
        "connections to the 49",
        "what the 49 held, until they or their disks are back",
        "all shown dead after {zone_lost_known} s, all alive {zone_back_known} s after they start",
        "tests/peers/test_liveness.py (a whole site), tests/sites/test_world.py (cores, not wired), probe `outages`",
    ),
    Event(
        "a region cut off for five minutes",
        "delivery on both sides, each to the destinations that it reaches",
        "unsafe messages of places that the cut-off region holds, once its lease (30 s by default) has ended",
        "all that is agreed, on the side without a majority; it says how old its word is",
        "known on both sides after {region_cut_known} s, all alive {region_back_known} s after the end of the cut",
        "tests/service/test_agreeing.py (a_copy_cut_off), tests/agreed/test_drawn.py, probe `outages`",
    ),
    Event(
        "three of four control machines left",
        "everything: three vote, or two of three with a fourth that follows",
        "nothing",
        "as with the leader, if it was the leader",
        "as with the leader; a voter that is gone is replaced by an operator (SIGHUP)",
        "tests/agreed/test_world.py; a settings file without sides: part 2",
    ),
    Event(
        "two of four control machines left",
        "delivery, and reading of what is agreed, if the two gone both voted; everything, if one of them only followed",
        "if both voted: changes, renewals (unsafe messages at the leases' end), changes of voters",
        "changes, until one is back",
        "until a majority of the voters is back: no bound of ours",
        "tests/agreed/test_world.py (a_restart_with_another_gone_for_good), docs/operate-agreed.md",
    ),
)
