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
    tests: tuple[str, ...]  # file::name; a test checks that they are there
    probed: bool = True  # times by the probe `outages`


EVENTS: tuple[Event, ...] = (
    Event(
        "one machine lost (a sender)",
        "all other senders; what it had taken is in its journal and goes on at its restart",
        "its clients' connections; they ask another sender",
        "what only it held",
        "shown dead everywhere after {copy_lost_known} s; its messages until it is back, or its disk is",
        (
            "tests/peers/test_liveness.py::test_deaths_are_known_and_no_living_one_is_dead",
            "tests/journal/test_crashes.py::test_a_crash_at_any_step_loses_repeats_and_changes_no_answer",
        ),
    ),
    Event(
        "one machine lost (the leader of the log)",
        "delivery; all copies read what is agreed",
        "nothing: proposals wait for the next leader",
        "changes and renewals of leases: learners that it fed leave it when pulls stay unanswered",
        "{leader_lost_entry} s until the last copy has it, in the mean of trials; the longest are told below",
        (
            "tests/agreed/test_world.py::test_drawn_schedules_hold",
            "tests/agreed/test_world.py::test_a_leader_that_wakes_acknowledges_nothing_on_what_it_believed",
        ),
    ),
    Event(
        "59 restarts or replacements a day",
        "the others; a planned stop drains, and hands the lead over",
        "new messages at the one that drains (503)",
        "a list from outside has to be there when it starts: the program does not fetch it",
        "alive everywhere again after {zone_back_known} s also if a tenth starts at once",
        (
            "tests/peers/test_liveness.py::test_a_restarted_copy_is_alive_at_once_also_with_its_clock_set_back",
            "tests/journal/test_crashes.py::test_crashes_during_recovery_are_recovered_from",
        ),
    ),
    Event(
        "a rack or switch (some of one zone)",
        "as with a zone",
        "as with a zone",
        "as with a zone",
        "as with a zone: fewer copies",
        ("tests/peers/test_liveness.py::test_deaths_are_known_and_no_living_one_is_dead",),
    ),
    Event(
        "a zone of 49 senders",
        "the other 441; a vote, if one was there, is replaced by an operator",
        "connections to the 49",
        "what the 49 held, until they or their disks are back",
        "all shown dead after {zone_lost_known} s, all alive {zone_back_known} s after they start",
        (
            "tests/peers/test_liveness.py::test_after_any_faults_all_are_alive_everywhere",
            "tests/sites/test_world.py::test_detection_and_return_are_fast_and_runs_are_reproducible",
        ),
    ),
    Event(
        "a region cut off for five minutes",
        "delivery on both sides, each to the destinations that it reaches",
        "unsafe messages of places that the cut-off region holds, once its lease (30 s by default) has ended",
        "all that is agreed, on the side without a majority; it says how old its word is",
        "known on both sides after {region_cut_known} s, all alive {region_back_known} s after the end of the cut",
        (
            "tests/peers/test_liveness.py::test_a_site_alone_says_so_and_tells_nobody_of_deaths",
            "tests/service/test_agreeing.py::test_a_copy_cut_off_takes_what_its_lease_allows_and_refuses_the_rest_before_any_effect",
            "tests/agreed/test_drawn.py::test_no_message_is_taken_by_two_regions_in_any_run",
        ),
    ),
    Event(
        "three of four control machines left",
        "everything: three vote, or two of three with a fourth that follows",
        "nothing",
        "as with the leader, if it was the leader",
        "as with the leader; a voter that is gone is replaced by an operator (SIGHUP)",
        (
            "tests/agreed/test_world.py::test_drawn_schedules_hold",
            "tests/agreed/test_world.py::test_two_of_five_gone_for_good_are_replaced_one_at_a_time",
        ),
        probed=False,
    ),
    Event(
        "two of four control machines left",
        "delivery, and reading of what is agreed, if the two gone both voted; everything, if one of them only followed",
        "if both voted: changes, renewals (unsafe messages at the leases' end), changes of voters",
        "changes, until one is back",
        "until a majority of the voters is back: no bound of ours",
        (
            "tests/agreed/test_world.py::test_a_restart_with_another_gone_for_good_waits_for_the_rest_only_so_long",
            "tests/agreed/test_grants.py::test_the_lease_of_a_lost_region_runs_out",
        ),
        probed=False,
    ),
)
