"""Judges the agreed log from copies of all folders and from what was told over HTTP. Pure.

An entry counts as agreed at a copy once its folder says so, or once the copy has answered so over HTTP
(``commit``) and its folder, copied afterwards in the same life, holds it. It counts as told once answered so.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from brassweir.lab.between.seen import Finding, Folder, Told


def agreed_entries(
    folders: Iterable[Folder], told: Iterable[Told]
) -> tuple[dict[int, dict[tuple[int, str], str]], dict[int, dict[str, str]]]:
    """Who held what at each agreed place: entries by index, snapshots by their last index."""
    commits: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for one in told:
        commits[one.copy, one.life].append((one.at, one.commit))
    entries: dict[int, dict[tuple[int, str], str]] = defaultdict(dict)
    snaps: dict[int, dict[str, str]] = defaultdict(dict)
    for folder in folders:
        answered = (index for at, index in commits[folder.copy, folder.life] if at <= folder.at)
        commit = max(folder.agreed, *answered, 0)
        for index, entry in folder.entries.items():
            if index <= commit:
                entries[index].setdefault(entry, f"{folder.copy} at {folder.at:.1f} s")
        if folder.snap:
            snaps[folder.snap].setdefault(folder.snap_digest, f"{folder.copy} at {folder.at:.1f} s")
    return entries, snaps


def same(folders: Sequence[Folder], told: Sequence[Told]) -> Finding:
    """No two copies hold different applied entries at one place, nor different snapshots up to one place."""
    found = Finding()
    entries, snaps = agreed_entries(folders, told)
    for index, holders in sorted(entries.items()):
        found.tested += 1
        if len(holders) > 1:
            who = ", ".join(f"{where}: term {term} {digest[:8]}" for (term, digest), where in holders.items())
            found.broken.append(f"entry {index} differs: {who}")
    for index, held in sorted(snaps.items()):
        found.tested += 1
        if len(held) > 1:
            who = ", ".join(f"{where}: {digest[:8]}" for digest, where in held.items())
            found.broken.append(f"snapshot up to {index} differs: {who}")
    return found


def same_state(told: Iterable[Told]) -> Finding:
    """No two copies tell different digests of their replicated state as of one index."""
    found = Finding()
    digests: dict[int, dict[str, str]] = defaultdict(dict)
    for one in told:
        if one.index and one.digest:
            found.tested += 1
            digests[one.index].setdefault(one.digest, f"{one.copy} at {one.at:.1f} s")
    for index, who in sorted(digests.items()):
        if len(who) > 1:
            found.broken.append(
                f"the state as of {index} differs: "
                + ", ".join(f"{where}: {digest[:8]}" for digest, where in who.items())
            )
    return found


def kept(folders: Sequence[Folder], told: Sequence[Told], voters: Sequence[str]) -> Finding:
    """Nothing told is lost: at the end, more than half of the voters hold every told entry as told."""
    found = Finding()
    entries, _ = agreed_entries(folders, told)
    last: dict[str, Folder] = {}
    for folder in sorted(folders, key=lambda one: one.at):
        last[folder.copy] = folder
    most = max((one.commit for one in told), default=0)
    found.figures["told_up_to"] = most
    for index in range(1, most + 1):
        found.tested += 1
        holders = [name for name in voters if name in last and _holds(last[name], index, entries)]
        if 2 * len(holders) <= len(voters):
            found.broken.append(
                f"entry {index} was told and stands at the end at {len(holders)} of "
                f"{len(voters)} voters ({', '.join(holders) or 'none'})"
            )
    return found


def _holds(folder: Folder, index: int, entries: dict[int, dict[tuple[int, str], str]]) -> bool:
    if index <= folder.base:
        return True
    entry = folder.entries.get(index)
    return entry is not None and (index not in entries or entry in entries[index])


def never_back(folders: Sequence[Folder], told: Sequence[Told]) -> Finding:
    """In one life of a folder: term, snapshot and what was told never go back; one vote a term."""
    found = Finding()
    by: dict[tuple[str, int], list[Folder]] = defaultdict(list)
    for folder in sorted(folders, key=lambda one: one.at):
        by[folder.copy, folder.life].append(folder)
    for (copy, _), line in by.items():
        for before, after in zip(line, line[1:], strict=False):
            found.tested += 1
            by_then = f"{after.at:.1f} s"
            if after.term < before.term:
                found.broken.append(f"{copy}: term {before.term} became {after.term} by {by_then}")
            if after.agreed < before.agreed:
                found.broken.append(f"{copy}: agreed {before.agreed} became {after.agreed} by {by_then}")
            if after.base < before.base:
                found.broken.append(f"{copy}: snapshot {before.base} became {after.base} by {by_then}")
            voted = before.member == after.member and before.vote
            if after.term == before.term and voted and after.vote != before.vote:
                found.broken.append(
                    f"{copy}: voted {before.vote}, then {after.vote or 'nobody'}, in term {after.term}"
                )
    answers: dict[tuple[str, int], list[Told]] = defaultdict(list)
    for one in sorted(told, key=lambda one: one.at):
        if not one.trouble:  # one that cannot open its folder shows nothing of it
            answers[one.copy, one.life].append(one)
    for (copy, life), given in answers.items():
        for earlier, later in zip(given, given[1:], strict=False):
            found.tested += 1
            by_then = f"{later.at:.1f} s"
            if later.term < earlier.term:
                found.broken.append(f"{copy}: told term {earlier.term}, then {later.term} at {by_then}")
            same = earlier.run == later.run  # a new process carries its log out anew
            if same and later.granted < earlier.granted:
                found.broken.append(f"{copy}: grants {earlier.granted}, then {later.granted} at {by_then}")
            if same and later.applied < earlier.applied:
                found.broken.append(f"{copy}: applied {earlier.applied}, then {later.applied} at {by_then}")
        for folder in by[copy, life]:
            applied = max((one.applied for one in given if one.at <= folder.at), default=0)
            found.tested += 1
            if folder.last < applied:
                found.broken.append(
                    f"{copy}: had applied {applied}, and its folder ends at {folder.last} at "
                    f"{folder.at:.1f} s"
                )
    return found


def one_leader(told: Iterable[Told]) -> Finding:
    """No two copies lead in one term."""
    found = Finding()
    leaders: dict[int, dict[str, float]] = defaultdict(dict)
    for one in told:
        if one.role == "leader":
            found.tested += 1
            leaders[one.term].setdefault(one.copy, one.at)
    for term, who in sorted(leaders.items()):
        if len(who) > 1:
            found.broken.append(
                f"term {term} had {len(who)} leaders: "
                + ", ".join(f"{name} at {at:.1f} s" for name, at in who.items())
            )
    found.figures["terms_led"] = len(leaders)
    return found
