"""The capacity benchmark: fits of known data, formulas, data files, the page, and one prediction beside a measurement."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from benchmarks.capacity import __main__ as command
from benchmarks.capacity import data, report
from benchmarks.capacity.events import EVENTS
from benchmarks.capacity.fit import FitError, fit
from benchmarks.capacity.formula import FormulaError, evaluate
from benchmarks.capacity.measurement import TARGET, Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.predict import AGREES, Model
from benchmarks.capacity.probes import processor, serve
from benchmarks.capacity.tables import TOPICS, number
from benchmarks.capacity.target import constants

ROOT = Path(__file__).parents[2]
COST = Figure(
    "cost", "s", Role.SENDER, "a cost", (Axis.SENDERS, Axis.DESTINATIONS), ("1", "N", "D", "N*D"), budget=2.0
)
TWICE = Figure("twice", "s", Role.SENDER, "two costs", kind=Kind.DERIVED, formula="cost * 2 + senders")
SIZES = [(n, d) for n in (5, 20, 80, 490) for d in (700, 7_000, 35_000, 70_000)]


def cost(point: Point) -> float:
    """The law that the data follow."""
    return 3.0 + 0.5 * point.senders + 0.01 * point.destinations + 2e-5 * point.senders * point.destinations


def measured(noise: float = 0.0) -> list[Measurement]:
    """Data by that law, with relative noise."""
    rng, points = random.Random(1), [Point(n, d) for n, d in SIZES]
    return [Measurement("cost", p, cost(p) * (1.0 + noise * rng.uniform(-1.0, 1.0)), "made") for p in points]


def test_fit_finds_the_law_and_tells_its_residual() -> None:
    exact, noisy = fit(COST, measured()), fit(COST, measured(0.05))
    assert exact.coefficients == pytest.approx((3.0, 0.5, 0.01, 2e-5), rel=1e-6)
    assert exact.most < 1e-9
    assert 0.01 < noisy.rms < noisy.most < 0.1


def test_point_that_was_not_fitted_is_predicted() -> None:
    point = Point(200, 20_000)
    held = Measurement("cost", point, cost(point), "made", holdout=True)
    wrong = Measurement("cost", point, cost(point) * 9.0, "made", holdout=True)
    good, bad = Model([COST], [*measured(0.05), held, wrong]).checks()
    assert good.error < AGREES < bad.error


def test_figure_needs_four_sizes_along_each_axis() -> None:
    few = [found for found in measured() if found.point.senders < 490]
    with pytest.raises(FitError, match="cost needs 4 sizes of senders, there are 3"):
        fit(COST, few)


def test_holdouts_and_other_figures_do_not_count() -> None:
    others = [
        Measurement("cost", Point(10, 10), 1e9, "made", holdout=True),
        Measurement("x", TARGET, 1.0, "made"),
    ]
    assert fit(COST, [*measured(), *others]) == fit(COST, measured())


def test_value_without_a_relative_error_is_refused() -> None:
    with pytest.raises(FitError, match="not over 0"):
        fit(COST, [*measured(), Measurement("cost", TARGET, 0.0, "made")])


def test_derived_figure_follows_its_formula() -> None:
    model = Model([COST, TWICE], measured())
    assert model.value("twice", TARGET) == pytest.approx(2.0 * cost(TARGET) + 490.0)
    assert set(Model([COST, TWICE], []).values(TARGET)) == set()


@pytest.mark.parametrize("text", ["open('x')", "a if b else c", "a ** 2", "'a'"])
def test_formula_holds_nothing_but_arithmetic(text: str) -> None:
    with pytest.raises(FormulaError):
        evaluate(text, lambda name: 1.0)


@pytest.mark.parametrize("line", ["{", '{"figure":"cost"}', "[]"])
def test_bad_line_is_named_with_file_and_line(tmp_path: Path, line: str) -> None:
    data.append("cost", measured()[:2], tmp_path)
    assert data.read_all(tmp_path) == measured()[:2]
    with (tmp_path / "cost.jsonl").open("a") as file:
        file.write(line + "\n")
    with pytest.raises(data.DataError, match="^cost.jsonl:3: "):
        data.read_all(tmp_path)


def test_figure_that_no_probe_has_is_named(tmp_path: Path) -> None:
    data.append("cost", measured()[:1], tmp_path)
    with pytest.raises(data.DataError, match="cost.jsonl:1: no probe has a figure 'cost'"):
        data.read_all(tmp_path, known={"other"})


def test_numbers_have_three_digits() -> None:
    assert [number(x) for x in (34_300_000.0, 1234.0, 12.345, 0.01234, 0.0)] == [
        "34,300,000",
        "1,230",
        "12.3",
        "0.0123",
        "0",
    ]


def test_page_differs_from_other_data() -> None:
    page = "# x\n<!-- table: ratios -->\n<!-- end of table -->\nend\n"
    model = Model([COST], measured())
    written = report.render(page, model)
    assert "`cost`" in written and written.endswith("end\n") and not report.differences(written, model)
    assert report.differences(written.replace("`cost`", "`boast`"), model)
    with pytest.raises(report.PageError, match="no table 'nothing'"):
        report.render(page.replace("ratios", "nothing"), model)


@pytest.mark.parametrize("path", report.PAGES, ids=lambda path: path.name)
def test_page_equals_the_committed_data(path: Path) -> None:
    page = path.read_text(encoding="utf-8")
    assert "<!-- table: " in page and not report.differences(page, command.load_model())


def test_each_test_that_the_page_names_is_there() -> None:
    named = [test.split("::") for event in EVENTS for test in event.tests]
    assert named and all(f"def {name}(" in (ROOT / path).read_text(encoding="utf-8") for path, name in named)


def test_each_figure_that_depends_on_a_size_has_a_size_that_was_not_fitted() -> None:
    model = command.load_model()
    held = {check.measurement.figure for check in model.checks()}
    without = {name for name, fit in model.fits.items() if fit.figure.axes and name not in held}
    assert without <= {
        figure.name for figure in serve.FIGURES
    }  # three to six processes: all sizes are fitted


def test_topics_and_formulas_name_figures_that_are_there() -> None:
    figures = {figure.name: figure for figure in command.all_figures()}
    assert len(figures) == len(command.all_figures())
    assert all(name in figures for names in TOPICS.values() for name in names)
    for figure in figures.values():
        if figure.kind is Kind.DERIVED:
            evaluate(figure.formula, lambda name: 1.0 if name in figures else constants()[name])


def test_processor_time_is_scaled_by_fixed_work(monkeypatch: pytest.MonkeyPatch) -> None:
    times = iter([0.0, 3.0])
    monkeypatch.setattr(processor, "fixed_work", lambda: 2.0 * processor.REFERENCE)
    monkeypatch.setattr("time.process_time", lambda: next(times))
    assert processor.scaled(lambda: None) == pytest.approx(1.5)


def test_each_committed_holdout_is_predicted() -> None:
    wrong = [check for check in command.load_model().checks() if check.error > AGREES]
    assert not [(check.measurement.figure, round(check.error, 3)) for check in wrong]
