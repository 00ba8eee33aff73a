"""What a copy showed of its endpoint configuration, as the judge reads it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class View:
    """The fleet as its leader showed it."""

    newest: int
    copies: int
    in_force: int
    behind: tuple[str, ...]
    unheard: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Shown:
    """One answer of ``/configuration`` at ``at`` (s since the start), by the ``run``-th process."""

    at: float
    copy: str
    life: int
    run: int
    version: int
    digest: str
    in_force: int
    out_of_contact: bool
    refused: str
    edit: tuple[str, int]  # state and number
    fleet: View | None = None
    feeder: str = ""  # whom it has entries from, and is counted by


def shown_of(
    at: float, copy: str, life: int, run: int, tree: dict[str, Any], agreed: dict[str, Any]
) -> Shown:
    """Read an answer, and that of ``/agreed``. Raises KeyError naming what is missing."""
    fleet = tree["fleet"]
    return Shown(
        at,
        copy,
        life,
        run,
        int(tree["version"]),
        str(tree["digest"]),
        int(tree["in_force"]),
        bool(tree["out_of_contact"]),
        str(tree["refused"]),
        (str(tree["edit"]["state"]), int(tree["edit"]["number"])),
        None if fleet is None else _view(fleet),
        str(agreed["feeder"]),
    )


def _view(tree: dict[str, Any]) -> View:
    behind = tuple(str(one["copy"]) for one in tree["behind"])
    return View(
        int(tree["newest"]), int(tree["copies"]), int(tree["in_force"]), behind, tuple(tree["unheard"])
    )
