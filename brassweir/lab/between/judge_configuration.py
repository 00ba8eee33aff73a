"""Judges the endpoint configuration from what operators wrote, what copies showed, and what the decision
modules know at the end. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence

from brassweir.lab.between.configuration_seen import Shown
from brassweir.lab.between.edits import Attempt, EndpointList
from brassweir.lab.between.schedule import Fault
from brassweir.lab.between.seen import Finding

CONTACT = 11.0  # s: beyond it a copy says that its knowledge is old


def whole_versions(shown: Sequence[Shown], lists: Mapping[str, EndpointList]) -> Finding:
    """A version is one list at all copies, and one that an operator wrote, whole and good."""
    found = Finding()
    digests: dict[int, dict[str, str]] = defaultdict(dict)
    for one in shown:
        if one.version:
            found.tested += 1
            digests[one.version].setdefault(one.digest, f"{one.copy} at {one.at:.1f} s")
    for version, held in sorted(digests.items()):
        if len(held) > 1:
            who = ", ".join(f"{where}: {digest[:8]}" for digest, where in held.items())
            found.broken.append(f"version {version} differs: {who}")
        for digest, where in held.items():
            if digest not in lists:
                found.broken.append(f"version {version} is no list that was written: {where}")
            elif not lists[digest].good:
                found.broken.append(f"version {version} is a list that must not be in force: {where}")
    found.figures["versions"] = len(digests)
    return found


def only_forward(shown: Sequence[Shown]) -> Finding:
    """In one life of a folder the version never goes back, and none is in force before it is agreed. What a
    start shows before it has read its folder, or told its list, is 0."""
    found = Finding()
    newest: dict[tuple[str, int], int] = defaultdict(int)
    told: dict[tuple[str, int, int], int] = defaultdict(int)
    for one in sorted(shown, key=lambda one: one.at):
        found.tested += 1
        by_then = f"{one.copy} at {one.at:.1f} s"
        life, run = (one.copy, one.life), (one.copy, one.life, one.run)
        if one.version and one.version < newest[life]:
            found.broken.append(f"{by_then}: version {newest[life]} became {one.version}")
        if one.in_force < told[run]:
            found.broken.append(f"{by_then}: {told[run]} was in force, then {one.in_force}")
        if one.in_force > max(newest[life], one.version):
            found.broken.append(f"{by_then}: {one.in_force} is in force, and {one.version} is agreed")
        newest[life] = max(newest[life], one.version)
        told[run] = max(told[run], one.in_force)
    return found


def edits_as_told(attempts: Sequence[Attempt], shown: Sequence[Shown]) -> Finding:
    """What an operator was told of an edit is so: agreed means that version is that list, nothing bad is
    agreed, and of two edits from one version only one is."""
    found = Finding()
    digests = {one.version: one.digest for one in shown if one.version}
    agreed = sorted((one for one in attempts if one.state == "agreed"), key=lambda one: one.version)
    for one in attempts:
        found.tested += 1
        words = f"the edit at {one.copy} at {one.at:.1f} s"
        if not one.good and one.state in ("agreed", "unchanged"):
            found.broken.append(f"{words} must not be agreed, and was {one.state}")
        if one.state in ("agreed", "unchanged") and digests.get(one.version, one.digest) != one.digest:
            found.broken.append(f"{words} was told to be version {one.version}, which is another list")
    for earlier, later in zip(agreed, agreed[1:], strict=False):
        if earlier.version == later.version and earlier.digest != later.digest:
            found.broken.append(f"two edits were told to be version {later.version}")
        if later.base is not None and later.base < earlier.version < later.version:
            found.broken.append(
                f"version {later.version} was made from {later.base}, and {earlier.version} came between"
            )
    for state in ("agreed", "unchanged", "refused", ""):
        found.figures[state or "end not seen"] = sum(one.state == state for one in attempts)
    found.figures["outdated"] = sum(one.field_name == "after" for one in attempts)
    return found


def in_force_at_all(
    shown: Sequence[Shown], attempts: Sequence[Attempt], names: Sequence[str], last: float, within: float
) -> Finding:
    """After the last fault and the last edit the newest version, no older than any told as agreed, is in
    force at all copies within so many seconds."""
    found = Finding(tested=1)
    agreed = max((one.version for one in attempts if one.state == "agreed"), default=0)
    begun = max([last, *(one.ended or one.at for one in attempts)])
    latest: dict[str, Shown] = {}
    for one in sorted(shown, key=lambda one: one.at):
        latest[one.copy] = one
        versions = {now.version for now in latest.values()} | {now.in_force for now in latest.values()}
        if one.at >= begun and len(latest) == len(names) and len(versions) == 1 and max(versions) >= agreed:
            found.figures["took_s"] = round(one.at - begun, 2)
            if one.at - begun > within:
                found.broken.append(f"it took {one.at - begun:.1f} s, {within:g} s were allowed")
            return found
    there = ", ".join(f"{name}: {one.in_force} of {one.version}" for name, one in sorted(latest.items()))
    found.broken.append(f"not all have the newest in force at the end, {agreed} was agreed; {there}")
    return found


def counted_right(shown: Sequence[Shown], names: Sequence[str], slack: float) -> Finding:
    """A leader that counts all copies in force is right; at the end there is one that does."""
    found = Finding()
    full = [one for one in shown if one.fleet is not None and one.fleet.in_force == len(names)]
    starts: dict[tuple[str, int], float] = {}
    for one in shown:
        starts[one.copy, one.run] = min(one.at, starts.get((one.copy, one.run), one.at))
    for one in full:
        assert one.fleet is not None
        found.tested += 1
        for other in shown:
            same = starts[other.copy, other.run] < one.at - slack and other.at > one.at
            if same and other.in_force < one.fleet.newest:
                found.broken.append(
                    f"{one.copy} counted {one.fleet.newest} in force at all at {one.at:.1f} s, and "
                    f"{other.copy} has {other.in_force} at {other.at:.1f} s"
                )
    last = max((one for one in shown if one.fleet is not None), key=lambda one: one.at, default=None)
    found.tested += 1
    if last is None or last.fleet is None or last.fleet.in_force != len(names):
        found.broken.append(
            f"at the end no leader counts all in force: {last.fleet if last else 'none leads'}"
        )
    elif last.fleet.behind or last.fleet.unheard:
        found.broken.append(f"at the end the leader names some as behind or unheard: {last.fleet}")
    return found


def out_of_contact(
    shown: Sequence[Shown], cuts: Sequence[Fault], at_site: Mapping[str, Sequence[str]], slack: float
) -> Finding:
    """Copies of a site that is cut off for longer than that say so, and those who say so were, or began."""
    found = Finding()
    for cut in cuts:
        for name in at_site.get(cut.who or "", ()):
            late = [
                one for one in shown if one.copy == name and cut.at + CONTACT + slack <= one.at <= cut.ends
            ]
            found.tested += len(late)
            found.broken += [
                f"{name} at {one.at:.1f} s takes its knowledge for new, cut off since {cut.at:.1f} s"
                for one in late
                if not one.out_of_contact
            ][:3]
    found.figures["said"] = sum(one.out_of_contact for one in shown)
    return found


def modules_told(
    modules: Mapping[str, Mapping[str, set[str]]], listed: EndpointList | None, senders: Sequence[str]
) -> Finding:
    """At the end each sender's decision module knows the endpoints of the list in force, and no others."""
    found = Finding()
    if listed is None:
        found.broken.append("what is in force at the end is no list that was written")
        return found
    for sender in senders:
        for home, known in modules.get(sender, {}).items():
            found.tested += 1
            wanted = listed.of(home)
            if known != wanted:
                found.broken.append(
                    f"{sender}: {home} has {len(known - wanted)} too many and lacks {len(wanted - known)}"
                )
    if not found.tested:
        found.broken.append("no decision module was asked")
    return found
