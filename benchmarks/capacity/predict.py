"""What the fitted slopes say of each figure at a point."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from benchmarks.capacity.fit import Fit, fit
from benchmarks.capacity.formula import evaluate
from benchmarks.capacity.measurement import Figure, Kind, Measurement, Point
from benchmarks.capacity.target import constants

AGREES = 0.15  # relative error of a prediction at a point that was not fitted


class Check(msgspec.Struct, frozen=True):
    """A holdout beside its prediction."""

    measurement: Measurement
    predicted: float

    @property
    def error(self) -> float:
        """Relative to what was measured."""
        return abs(self.predicted - self.measurement.value) / self.measurement.value


class Model:
    """All figures that have data, and those derived from them."""

    def __init__(self, figures: Iterable[Figure], measurements: Sequence[Measurement]) -> None:
        self.figures = {figure.name: figure for figure in figures}
        self.measurements = measurements
        names = {found.figure for found in measurements if not found.holdout}
        fitted = [figure for figure in self.figures.values() if figure.kind is not Kind.DERIVED]
        self.fits: dict[str, Fit] = {
            figure.name: fit(figure, measurements) for figure in fitted if figure.name in names
        }

    def value(self, name: str, point: Point) -> float:
        """A figure or a constant at a point. Raises KeyError if there are no data for it."""
        figure = self.figures.get(name)
        if figure is not None and figure.kind is Kind.DERIVED:
            return evaluate(figure.formula, lambda other: self.value(other, point))
        if figure is not None:
            return self.fits[name].at(point)
        return constants(point)[name]

    def values(self, point: Point) -> dict[str, float]:
        """All figures that data are there for."""
        found = {}
        for name in self.figures:
            try:
                found[name] = self.value(name, point)
            except KeyError:
                continue
        return found

    def checks(self) -> list[Check]:
        """Each holdout beside what the fit of the others says."""
        held = [found for found in self.measurements if found.holdout and found.figure in self.fits]
        return [Check(found, self.fits[found.figure].at(found.point)) for found in held]
