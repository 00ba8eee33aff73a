"""Judges what copies send each other, from the relay's tape alone. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence

from brassweir.lab.between.seen import Finding
from brassweir.lab.between.tape import Datagram, Fate, RelayTape

IDLE_MOST = 2000.0  # bytes a second that a copy sends when nothing goes on


def traffic(
    tape: RelayTape, start: float, end: float, most: float = IDLE_MOST, gone: Collection[str] = ()
) -> Finding:
    """What each copy sends in a quiet span, in bytes and messages a second; none over ``most`` bytes of what
    peers say of being there (``live``). The agreed log's talk is told beside it: its leader feeds all.
    Nothing is asked of who is ``gone``."""
    found = Finding()
    span = end - start
    if span <= 0:
        return found
    sizes: Counter[str] = Counter()
    counts: Counter[str] = Counter()
    logged: Counter[str] = Counter()
    for one in tape.seen:
        if start <= one.at < end:
            counts[one.sender] += 1
            (logged if one.kind == "log" else sizes)[one.sender] += one.size
    for name in (one for one in tape.names if one not in gone):
        found.tested += 1
        if sizes[name] / span > most:
            found.broken.append(f"{name} sent {sizes[name] / span:.0f} bytes/s in {span:.1f} quiet seconds")
        if not counts[name]:
            found.broken.append(f"{name} sent nothing in {span:.1f} s: its talk goes past the relay")
    found.figures |= {
        "bytes_a_second_most": round(max((sizes[name] for name in tape.names), default=0) / span, 1),
        "bytes_a_second_mean": round(sum(sizes.values()) / span / max(1, len(tape.names)), 1),
        "log_bytes_a_second_most": round(max((logged[name] for name in tape.names), default=0) / span, 1),
        "log_bytes_a_second_mean": round(sum(logged.values()) / span / max(1, len(tape.names)), 1),
        "messages_a_second_mean": round(sum(counts.values()) / span / max(1, len(tape.names)), 2),
    }
    return found


def fates(seen: Sequence[Datagram]) -> dict[str, int]:
    """How many datagrams had each fate."""
    counts = Counter(one.fate for one in seen)
    return {fate.name.lower(): counts[fate] for fate in Fate}
