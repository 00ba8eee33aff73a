"""Measure what brassweir needs, predict it at another size, and write the tables of docs/CAPACITY.md."""

from __future__ import annotations

import argparse
import subprocess
import sys

import msgspec

from benchmarks.capacity import data, derived, report
from benchmarks.capacity.fit import FitError
from benchmarks.capacity.measurement import Figure, Measurement, Point
from benchmarks.capacity.predict import Model
from benchmarks.capacity.probes import PROBES

MOST_SECONDS = 600.0  # a probe's process is ended after so long


def all_figures() -> tuple[Figure, ...]:
    """Of all probes, then those derived."""
    return tuple(figure for _, probe in PROBES for figure in probe.FIGURES) + derived.FIGURES


def load_model() -> Model:
    """The committed data, fitted."""
    figures = all_figures()
    return Model(figures, data.read_all(known={figure.name for figure in figures}))


def run_probe(name: str, point: Point, seconds: float) -> list[Measurement]:
    """Run one probe in a fresh process, so that its memory is its own."""
    command = [sys.executable, "-m", "benchmarks.capacity", "probe", name]
    command += [msgspec.json.encode(point).decode(), str(seconds)]
    told = subprocess.run(command, stdout=subprocess.PIPE, timeout=MOST_SECONDS, check=True)
    return msgspec.json.decode(told.stdout.splitlines()[-1], type=list[Measurement])


def probe(options: argparse.Namespace) -> int:
    """The fresh process: measure, and print the measurements."""
    point = msgspec.json.decode(options.point, type=Point)
    found = dict(PROBES)[options.name].measure(point, options.seconds)
    print(msgspec.json.encode(found).decode())
    return 0


def point_of(options: argparse.Namespace) -> Point:
    """The size that was asked for."""
    return Point(options.senders, options.destinations, options.down, options.backlog)


def measure(options: argparse.Namespace) -> int:
    """Run the probes that were named, or all."""
    point = point_of(options)
    for name in options.probe or [name for name, _ in PROBES]:
        found = run_probe(name, point, options.seconds)
        if options.holdout:
            found = [msgspec.structs.replace(one, holdout=True) for one in found]
        if options.append:
            data.append(name, found)
        for one in found:
            show(options.json, one.figure, one.value, point)
    return 0


def predict(options: argparse.Namespace) -> int:
    """What the slopes say of the same figures."""
    point = point_of(options)
    for name, value in load_model().values(point).items():
        show(options.json, name, value, point)
    return 0


def show(as_json: bool, name: str, value: float, point: Point) -> None:
    """One line for a figure."""
    if as_json:
        print(msgspec.json.encode({"figure": name, "value": value, "point": point}).decode(), flush=True)
    else:
        unit = next(figure.unit for figure in all_figures() if figure.name == name)
        print(f"{name:<32} {value:>14,.6g} {unit}", flush=True)


def write_report(options: argparse.Namespace) -> int:
    """Write the tables of the pages, or tell where they differ from the data."""
    model = load_model()
    found: list[str] = []
    for path in report.PAGES:
        page = path.read_text(encoding="utf-8")
        if options.check:
            found += [f"{path.name}: {line}" for line in report.differences(page, model)]
        else:
            path.write_text(report.render(page, model), encoding="utf-8")
    print("\n".join(found), file=sys.stderr, end="\n" if found else "")
    return 1 if found else 0


def parser() -> argparse.ArgumentParser:
    """The command line."""
    main_parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity", description=__doc__)
    commands = main_parser.add_subparsers(required=True)
    sizes = argparse.ArgumentParser(add_help=False)
    sizes.add_argument("--senders", type=int, required=True)
    sizes.add_argument("--destinations", type=int, required=True)
    sizes.add_argument("--down", type=float, default=0.0, help="share of the destinations")
    sizes.add_argument("--backlog", type=int, default=0, help="undelivered events at one sender")
    sizes.add_argument("--json", action="store_true")
    command = commands.add_parser("measure", parents=[sizes], help="run the probes")
    command.add_argument("--seconds", type=float, default=10.0, help="for each probe")
    command.add_argument("--probe", action="append", choices=[name for name, _ in PROBES])
    command.add_argument("--append", action="store_true", help="add to the committed data")
    command.add_argument("--holdout", action="store_true", help="keep out of the fit")
    command.set_defaults(run=measure)
    command = commands.add_parser("predict", parents=[sizes], help="what the slopes say")
    command.set_defaults(run=predict)
    command = commands.add_parser(
        "report", help="write the tables of docs/CAPACITY.md and docs/capacity-fits.md"
    )
    command.add_argument("--check", action="store_true", help="exit with 1 if pages and data differ")
    command.set_defaults(run=write_report)
    command = commands.add_parser("probe", help="one probe, in this process")
    command.add_argument("name", choices=[name for name, _ in PROBES])
    command.add_argument("point", help="as JSON")
    command.add_argument("seconds", type=float)
    command.set_defaults(run=probe)
    return main_parser


def main() -> int:
    """Run it."""
    options = parser().parse_args()
    try:
        return int(options.run(options))
    except (data.DataError, FitError, report.PageError) as error:
        print(error, file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
