"""One self-contained HTML page for a run or an experiment: plots as PNG within it, each with its sentence."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Callable, Sequence
from typing import Any

import numpy as np

from brassweir.lab.models.worth import LOSSES
from brassweir.lab.simulated.runs import Run, summary

BIN = 500.0  # ms: one point of a curve over time
COLOURS = {
    "offered": "#555555",
    "admitted": "#1f77b4",
    "delivered": "#2ca02c",
    "refused": "#ff7f0e",
    "failed": "#d62728",
}
_STYLE = """body{font-family:sans-serif;max-width:62em;margin:2em auto;color:#222}img{max-width:100%}
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}
th:first-child,td:first-child{text-align:left}p.says{color:#555}"""


def _figure(draw: Callable[[Any], None], height: float = 3.2) -> str:
    """A plot as an <img> that holds it."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(10, height), layout="constrained")
    draw(axes)
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=90, metadata={"Software": None})
    plt.close(figure)
    return f'<img alt="" src="data:image/png;base64,{base64.b64encode(out.getvalue()).decode()}">'


def _page(title: str, parts: list[str]) -> str:
    body = "\n".join(parts)
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{html.escape(title)}</title>'
        f"<style>{_STYLE}</style><h1>{html.escape(title)}</h1>\n{body}\n</html>\n"
    )


def _says(text: str) -> str:
    return f'<p class="says">{html.escape(text)}</p>'


def _table(head: Sequence[object], rows: Sequence[Sequence[object]]) -> str:
    def line(cells: Sequence[object], tag: str) -> str:
        return "<tr>" + "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in cells) + "</tr>"

    return "<table>" + line(head, "th") + "".join(line(row, "td") for row in rows) + "</table>"


def run_page(run: Run) -> str:
    """A run: load and answers over time, the control loop, destinations with their troubles, latencies,
    losses."""
    day, rows, tree = run.day, run.rows, summary(run)
    edges = np.arange(0.0, day.end + BIN, BIN)
    middle = (edges[:-1] + BIN / 2.0) / 1000.0

    def rate(which: Callable[[dict[str, Any]], bool], when: Callable[[dict[str, Any]], float]) -> Any:
        found = [when(row) for row in rows if which(row)]
        return np.histogram(found, edges)[0] * 1000.0 / BIN

    def load(axes: Any) -> None:
        offered = rate(lambda row: True, lambda row: row["at_ms"])
        axes.plot(middle, offered, color=COLOURS["offered"], label="offered")
        axes.plot(
            middle,
            rate(lambda row: row["attempts"] > 0, lambda row: row["at_ms"]),
            color=COLOURS["admitted"],
            label="admitted (an attempt went out)",
        )
        for name in ("delivered", "refused", "failed"):
            axes.plot(
                middle,
                rate(
                    lambda row, name=name: row["answer"] == name,  # type: ignore[misc]
                    lambda row: row["at_ms"] + row["age_ms"],
                ),
                color=COLOURS[name],
                label=name,
            )
        axes.set(xlabel="s", ylabel="messages a second")
        axes.legend(fontsize=8)

    def loop(axes: Any) -> None:
        at = [one.at / 1000.0 for one in run.stage.samples]
        axes.plot(at, [one.open for one in run.stage.samples], label="open")
        axes.plot(at, [one.out for one in run.stage.samples], label="out")
        axes.plot(at, [one.bound for one in run.stage.samples], "--", label="bound, all senders together")
        axes.plot(at, [one.shut for one in run.stage.samples], ":", label="shut gates")
        axes.set(xlabel="s", ylabel="messages", yscale="symlog")
        axes.legend(fontsize=8)

    def ages(axes: Any) -> None:
        for cls in day.classes:
            found = np.sort(
                [
                    row["age_ms"]
                    for row in rows
                    if row["class_name"] == cls.name and row["answer"] == "delivered"
                ]
            )
            if len(found):
                axes.plot(found, np.linspace(0.0, 1.0, len(found)), label=f"{cls.name}, aim {cls.aim:.0f} ms")
        axes.set(xlabel="ms from hand-in to answer", ylabel="share of the delivered", xscale="log")
        axes.legend(fontsize=8)

    struck = sorted(
        {
            target
            for one in day.strikes
            if not one.kind.startswith("sender") and one.kind != "stale_list"
            for target in one.targets
        }
    )[:30]

    def bands(axes: Any) -> None:
        colours = {kind: f"C{i}" for i, kind in enumerate(sorted({one.kind for one in day.strikes}))}
        for line, target in enumerate(struck):
            for one in day.strikes:
                if target in one.targets and not one.kind.startswith("sender") and one.kind != "stale_list":
                    axes.barh(
                        line,
                        (one.end - one.start) / 1000.0,
                        left=one.start / 1000.0,
                        height=0.7,
                        color=colours[one.kind],
                        alpha=0.6,
                    )
                    axes.text(one.start / 1000.0, line, one.kind, fontsize=7, va="center")
            lost = [row["at_ms"] / 1000.0 for row in rows if row["destination"] == target and row["lost_to"]]
            axes.plot(lost, [line] * len(lost), "|", color="black", markersize=5)
        names = [day.homes[one - 1].name for one in struck]
        axes.set(xlabel="s", yticks=range(len(struck)), yticklabels=names, xlim=(0, day.end / 1000.0))

    per_class = []
    for cls in day.classes:
        mine = [row for row in rows if row["class_name"] == cls.name]
        full = sum(row["full_worth"] for row in mine) or 1.0
        counts = [sum(row["answer"] == name for row in mine) for name in ("delivered", "refused", "failed")]
        per_class.append([cls.name, len(mine), *counts, f"{sum(row['worth'] for row in mine) / full:.3f}"])
    losses = [[name, f"{tree['lost_to_' + name.replace(' ', '_')]:.4f}"] for name in LOSSES[1:]]
    broken = [[rule, run.verdict.tested[rule], len(found)] for rule, found in run.verdict.broken.items()]
    parts = [
        f"<p>Deployment {html.escape(day.deployment)}, seed {day.seed}, day {day.digest()}: {len(rows)} "
        f"messages to {len(day.homes)} destinations through {day.senders.count} senders in "
        f"{day.end / 1000.0:.0f} simulated seconds. Worth {tree['worth']:.4f} of all that was "
        f"handed in; p50 {tree['p50_ms']:.0f} ms, p99 {tree['p99_ms']:.0f} ms.</p>",
        "<h2>Load and answers</h2>",
        _figure(load),
        _says("Where offered and admitted part, messages were turned away before any attempt."),
        "<h2>The control loop</h2>",
        _figure(loop),
        _says(
            "The bound moves each second toward answers that use nine tenths of their aim; a backlog at "
            "the bound means that admission refuses."
        ),
        "<h2>Destinations in trouble</h2>",
        _figure(bands, 1.0 + 0.3 * max(1, len(struck))),
        _says("Bands are troubles, strokes are messages for that destination that lost some worth."),
        "<h2>Latency</h2>",
        _figure(ages),
        _says("Up to its aim a message keeps all its worth."),
        "<h2>By class</h2>",
        _table(["class", "messages", "delivered", "refused", "failed", "worth"], per_class),
        "<h2>What worth was lost to</h2>",
        _table(["cause", "share of all worth"], losses),
        "<h2>The six rules</h2>",
        _table(["rule", "put to the test", "broken"], broken),
    ]
    return _page(f"{day.deployment}, seed {day.seed}", parts)


def experiment_page(outcome: dict[str, Any], rows: list[dict[str, Any]]) -> str:
    """An experiment: the answer first, then variant against variant."""
    measure, base = outcome["measure"], outcome["baseline"]
    names = list(outcome["means"])
    by_name = {name: {row["seed"]: row[measure] for row in rows if row["variant"] == name} for name in names}

    def pairs(axes: Any) -> None:
        for i, name in enumerate(name for name in names if name != base):
            gaps = [
                by_name[name][seed] - by_name[base][seed]
                for seed in sorted(by_name[base])
                if seed in by_name[name]
            ]
            axes.plot(gaps, [i] * len(gaps), "o", alpha=0.4)
            axes.text(max(gaps), i + 0.15, name)
        axes.axvline(0.0, color="grey")
        axes.set(xlabel=f"{measure}, less that of {base}, one point a day", yticks=[])

    verdicts = [
        [
            name,
            one["verdict"] or "undecided",
            f"{one['mean']:+.5f}",
            f"{one['low']:+.5f}",
            f"{one['high']:+.5f}",
            one["pairs"],
        ]
        for name, one in outcome["differences"].items()
    ]
    means = [[name, *(outcome["means"][name].values()), outcome["rules_broken"][name]] for name in names]
    head = list(next(iter(outcome["means"].values())))
    parts = [
        f"<p>{html.escape(outcome['question'])}</p>",
        _table(["variant", f"than {base}", "mean difference", "from", "to", "days"], verdicts),
        _says(
            f"Intervals hold at the level {outcome['level_of_a_look']} of each of "
            f"{len(outcome['planned_looks'])} planned looks, 0.05 over all. Better is positive."
        ),
        "<h2>Day by day</h2>",
        _figure(pairs, 1.0 + 0.6 * len(names)),
        _says("A point right of the line is a day on which the variant had more."),
        "<h2>Means</h2>",
        _table(["variant", *head, "rules broken"], means),
    ]
    return _page(outcome["name"], parts)
