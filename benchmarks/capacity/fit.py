"""Slopes: least squares of relative errors on a few terms for each figure."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

import msgspec
import numpy

from benchmarks.capacity.measurement import Axis, Figure, Measurement, Point

SIZES = 4  # distinct sizes that an axis needs before a term may depend on it


class FitError(ValueError):
    """The data do not carry the terms of a figure."""


class Term(msgspec.Struct, frozen=True):
    """One function of a point."""

    axes: tuple[Axis, ...]
    at: Callable[[Point], float]


N, D, P, B = Axis.SENDERS, Axis.DESTINATIONS, Axis.DOWN, Axis.BACKLOG
REACHED = 471.0  # messages for one destination in five minutes at the target


def _table(entries: float) -> float:
    """Slots of a dictionary of so many entries: the next power of two of which they fill no more than two thirds."""
    return float(2 ** math.ceil(math.log2(max(entries * 1.5, 8.0))))


def _reached(senders: float) -> float:
    """Senders of so many that get at least one of ``REACHED`` messages, spread evenly."""
    return senders * -math.expm1(-REACHED / senders)


TERMS: dict[str, Term] = {
    "1": Term((), lambda point: 1.0),
    "N": Term((N,), lambda point: point.senders),
    "D": Term((D,), lambda point: point.destinations),
    "P": Term((P,), lambda point: point.down),
    "B": Term((B,), lambda point: point.backlog),
    "N*N": Term((N,), lambda point: point.senders**2),
    "N*D": Term((N, D), lambda point: point.senders * point.destinations),
    "D*P": Term((D, P), lambda point: point.destinations * point.down),
    "D/N": Term((N, D), lambda point: point.destinations / point.senders),
    "1/N": Term((N,), lambda point: 1.0 / point.senders),
    "log N": Term((N,), lambda point: math.log(point.senders)),
    "log D": Term((D,), lambda point: math.log(point.destinations)),
    "D*log D": Term((D,), lambda point: point.destinations * math.log(point.destinations)),
    "N*log N": Term((N,), lambda point: point.senders * math.log(point.senders)),
    "table D": Term((D,), lambda point: _table(point.destinations)),
    "reached N": Term((N,), lambda point: _reached(point.senders)),
    "sqrt N": Term((N,), lambda point: math.sqrt(point.senders)),
}


class Fit(msgspec.Struct, frozen=True):
    """Coefficients of a figure's terms, and its relative residuals over the points that were fitted."""

    figure: Figure
    coefficients: tuple[float, ...]
    points: int
    most: float
    rms: float

    def at(self, point: Point) -> float:
        """The value that the fit gives at a point."""
        pairs = zip(self.coefficients, self.figure.terms, strict=True)
        return sum(slope * TERMS[term].at(point) for slope, term in pairs)


def fit(figure: Figure, measurements: Iterable[Measurement]) -> Fit:
    """Fit one figure; holdouts and other figures are passed over."""
    used = [found for found in measurements if found.figure == figure.name and not found.holdout]
    if len(used) < len(figure.terms):
        raise FitError(f"{figure.name}: {len(used)} measurements for {len(figure.terms)} terms")
    if not all(found.value > 0.0 for found in used):
        raise FitError(f"{figure.name}: a value is not over 0, so it has no relative error")
    _require_sizes(figure, [found.point for found in used])
    values = numpy.array([found.value for found in used])
    rows = numpy.array([[TERMS[term].at(found.point) for term in figure.terms] for found in used])
    scaled = rows / values[:, None]
    widths = numpy.abs(scaled).max(axis=0)
    widths[widths == 0.0] = 1.0
    slopes = numpy.linalg.lstsq(scaled / widths, numpy.ones(len(used)), rcond=None)[0] / widths
    errors = numpy.abs(scaled @ slopes - 1.0)
    rms = math.sqrt(float(numpy.mean(errors**2)))
    return Fit(figure, tuple(float(slope) for slope in slopes), len(used), float(errors.max()), rms)


def _require_sizes(figure: Figure, points: Sequence[Point]) -> None:
    """No figure without four sizes along each axis that it, or one of its terms, depends on."""
    unknown = [term for term in figure.terms if term not in TERMS]
    if unknown:
        raise FitError(f"{figure.name}: no term {unknown[0]!r}")
    for axis in {*figure.axes, *(axis for term in figure.terms for axis in TERMS[term].axes)}:
        sizes = len({point.along(axis) for point in points})
        if sizes < SIZES:
            raise FitError(f"{figure.name} needs {SIZES} sizes of {axis.value}, there are {sizes}")
