"""Each table of docs/CAPACITY.md, as Markdown."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence
from functools import partial

from benchmarks.capacity.events import EVENTS, Event
from benchmarks.capacity.measurement import TARGET, Figure, Kind, Role
from benchmarks.capacity.predict import Model
from benchmarks.capacity.trials import KEPT, TRIALS

NO_DATA = "no data"
TOPICS: dict[str, tuple[str, ...]] = {
    "pairs": ("pairs", "pair_interval", "pair_connections", "connections_memory", "idle_connections"),
    "unheard": (
        "pair_interval",
        "calls_to_know",
        "calls_to_know_together",
        "dead_calls_first",
        "dead_calls_later",
    )
    + ("dead_calls_busy", "dead_calls_fleet", "down_destinations"),
    "backlog": ("backlog_open", "backlog_memory", "backlog_journal", "backlog_drain", "restart_read")
    + ("restart_turn", "restart_memory"),
    "returning": ("return_folder_bytes", "list_packed_bytes", "return_whole_time", "zone_return_bytes")
    + ("list_lines_bytes",),
}
PREDICTED_BY = {"serve_cpu": "peer_cpu", "serve_bytes": "hollow_bytes", "serve_memory": "hollow_memory"}


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Markdown, with a blank line on both sides."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n" + "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def number(value: float) -> str:
    """Three significant digits, without an exponent."""
    if value == 0.0:
        return "0"
    if abs(value) >= 1_000.0:
        digits = len(str(int(abs(value)))) - 3
        return f"{round(value, -digits):,.0f}"
    return f"{value:.3g}" if abs(value) >= 0.001 else f"{value:.2g}"


def exact(value: float) -> str:
    """A budget as it was named."""
    return f"{value:,.10g}"


def value_of(model: Model, figure: Figure) -> float | None:
    """At the target, if there are data."""
    try:
        return model.value(figure.name, TARGET)
    except KeyError:
        return None


def role_table(role: Role, model: Model) -> str:
    """What one role pays at the target, beside its budgets."""
    rows = []
    for figure in model.figures.values():
        if figure.role is role:
            need = value_of(model, figure)
            rows.append(
                [
                    f"`{figure.name}`",
                    figure.what,
                    NO_DATA if need is None else f"{number(need)} {figure.unit}",
                    "" if figure.budget is None else f"{exact(figure.budget)} {figure.unit}",
                    _origin(figure, model),
                    figure.mechanism,
                ]
            )
    return table(["figure", "what", "at the target", "budget", "how known", "carried by"], rows)


def topic_table(names: Sequence[str], model: Model) -> str:
    """Some figures that answer one question together, whoever pays for them."""
    rows = []
    for name in names:
        figure = model.figures[name]
        need = value_of(model, figure)
        shown = NO_DATA if need is None else f"{number(need)} {figure.unit}"
        rows.append([f"`{name}`", figure.what, shown, _origin(figure, model)])
    return table(["figure", "what", "at the target", "how known"], rows)


def _origin(figure: Figure, model: Model) -> str:
    """How the value at the target is known: its formula, or its terms and how far the sizes reach."""
    if figure.kind is Kind.DERIVED:
        return f"derived: `{figure.formula}`"
    told = f"{figure.kind.value}, by {', '.join(f'`{term}`' for term in figure.terms)}"
    for axis in figure.axes:
        sizes = [found.point.along(axis) for found in model.measurements if found.figure == figure.name]
        if sizes and max(sizes) < TARGET.along(axis):
            told += f"; extrapolated beyond {number(max(sizes))} {axis.value}"
    return told


def ratios(model: Model) -> str:
    """Need over budget of each figure with a budget, the worst first."""
    found = []
    for figure in model.figures.values():
        need = value_of(model, figure)
        if figure.budget is not None and need is not None:
            found.append((need / figure.budget, need, figure.budget, figure))
    found.sort(key=lambda row: (-row[0], row[3].name))
    rows = [
        [number(ratio), f"`{figure.name}`", figure.role.value, figure.what]
        + [f"{number(need)} {figure.unit}", f"{exact(budget)} {figure.unit}", figure.mechanism]
        for ratio, need, budget, figure in found
    ]
    return table(["need/budget", "figure", "role", "what", "need", "budget", "carried by"], rows)


def fits(model: Model) -> str:
    """Each fit's slopes and residuals."""
    rows = []
    for fit in model.fits.values():
        pairs = zip(fit.coefficients, fit.figure.terms, strict=True)
        slopes = " + ".join(f"{number(slope)} {term}".replace(" 1", "") for slope, term in pairs)
        rows.append(
            [f"`{fit.figure.name}`", fit.figure.unit, slopes, str(fit.points)]
            + [f"{fit.rms:.1%}", f"{fit.most:.1%}"]
        )
    return table(["figure", "unit", "fitted", "measurements", "residual rms", "most"], rows)


def checks(model: Model) -> str:
    """Points that were not fitted, beside their prediction."""
    rows = []
    for check in model.checks():
        found = check.measurement
        point = found.point
        place = f"{point.senders} senders, {point.destinations:,} destinations"
        place += f", {point.down:.1%} down" if point.down else ""
        place += f", backlog {point.backlog:,}" if point.backlog else ""
        rows.append(
            [f"`{found.figure}`", place, number(found.value), number(check.predicted), f"{check.error:.1%}"]
        )
    return table(["figure", "at", "measured", "predicted", "error"], rows)


def events(model: Model) -> str:
    """The operators' events, with figures at the target."""

    def seconds(match: re.Match[str]) -> str:
        try:
            return number(model.value(match[1], TARGET) / 1_000.0)
        except KeyError:
            return f"({NO_DATA})"

    rows = [
        [
            event.name,
            event.goes_on,
            event.refused,
            event.late,
            re.sub(r"{(\w+)}", seconds, event.at_most),
            _shown_by(event),
        ]
        for event in EVENTS
    ]
    return table(["event", "goes on", "refused", "late", "for how long at most", "shown by"], rows)


def trials(model: Model) -> str:
    """Figures of earlier trials, kept or corrected."""
    rows = []
    for trial in TRIALS:
        try:
            found = model.value(trial.figure, trial.point)
        except KeyError:
            rows.append([trial.text, number(trial.value), f"`{trial.figure}`", NO_DATA, "not checked"])
            continue
        close = abs(found - trial.value) <= KEPT * trial.value
        verdict = "kept" if close else f"corrected{f': {trial.note}' if trial.note else ''}"
        rows.append([trial.text, number(trial.value), f"`{trial.figure}`", number(found), verdict])
    return table(["trial", "gave", "figure", "these data", "so"], rows)


def _shown_by(event: Event) -> str:
    shown = [f"`{test.rpartition('::')[2]}`" for test in event.tests]
    return ", ".join([*shown, "probe `outages`"] if event.probed else shown)


def processes(model: Model) -> str:
    """Real processes beside what the slopes of hollow senders say of the same number."""
    rows = []
    for found in model.measurements:
        if found.figure in PREDICTED_BY:
            name = PREDICTED_BY[found.figure]
            predicted = number(model.value(name, found.point)) if name in model.fits else NO_DATA
            rows.append(
                [f"`{found.figure}`", str(found.point.senders), number(found.value), f"`{name}`", predicted]
            )
    return table(["figure", "processes", "measured", "predicted by", "predicted"], rows)


TABLES: dict[str, Callable[[Model], str]] = {
    "ratios": ratios,
    "fits": fits,
    "checks": checks,
    "events": events,
    "processes": processes,
    "trials": trials,
    **{f"topic {name}": partial(topic_table, names) for name, names in TOPICS.items()},
    **{f"role {role.value}": partial(role_table, role) for role in Role},
}
