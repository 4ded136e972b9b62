"""The scale benchmarks: fits find known curves, every subject yields sound slopes, the committed record holds."""

import math
import unittest
from pathlib import Path

from benchmarks.scale import __main__ as program
from benchmarks.scale.fit import fit
from benchmarks.scale.sampling import Effort, Samples
from benchmarks.scale.subjects import SUBJECTS
from petrelhall.capacity.records import Curve, Record, Slope, read_record

RECORD = Path(__file__).parent.parent / "docs" / "capacity" / "slopes.json"
LEAST_SIZES = 4
MOST_PLOT_BYTES = 80000
SIZES = (21.0, 50.0, 100.0, 300.0, 700.0, 1400.0, 2100.0)
COEFFICIENTS = {Curve.CONSTANT: 1, Curve.LINEAR: 2, Curve.LOGARITHMIC: 2, Curve.QUADRATIC: 3, Curve.POWER: 2}
TINY = Effort(
    servers=(2, 5, 10, 20),
    gateways=(5, 8, 12, 20),
    planned_members=(5, 8, 12, 20),
    simulated_members=(3, 4, 5, 6),
    simulated_voters=(3, 4, 5, 6),
    tenants=(3, 6, 12, 24),
    snapshot_tenants=(3, 6, 12, 24),
    accounts=(4, 8, 16, 32),
    crowded_accounts=(8, 16, 32, 64),
    named_tenants=(2, 4, 8, 16),
    routes=(2, 4, 8, 16),
    repeats=1,
    seconds=1.0,
)
# Slopes are named after their subject, but for those of a subject that is a second part of another.
NAMES = {
    "discovery": {"whole_list.bytes", "whole_list.cpu", "change.bytes", "change.cpu"},
    "decide": {"request.cpu", "interval.servers", "servers.memory"},
    "decide-tenants": {
        "decide.tenants.cpu",
        "decide.tenants.memory",
        "decide.sweep.longest",
        "decide.sweep.forget",
        "decide.snapshot.bytes",
        "decide.snapshot.cpu",
    },
    "members": {"found", "cut_found", "messages", "bytes", "cpu", "memory"},
    "members-simulated": {"members.found.simulated"},
    "accord": {"lease", "change.silent", "messages", "bytes", "cpu", "memory"},
    "accord-simulated": {"accord.change.simulated"},
    "quota": {
        "cpu",
        "turn.longest",
        "messages",
        "bytes",
        "counter.cpu",
        "counter.calls",
        "memory",
        "open.cpu",
    },
    "gossip": {"messages", "bytes", "in.cpu", "counter.calls"},
    "document": {"tenants.bytes", "tenants.cpu", "tenants.messages", "routes.bytes", "routes.cpu"},
    "links": {"request.cpu", "tick.longest", "tick.cpu", "opened", "memory", "opened.descriptors"},
    "process": {"rest.memory", "peak.memory", "rest.cpu", "rest.descriptors"},
}


def slope_names(subject: str) -> set[str]:
    names = NAMES[subject] if "-" in subject else {f"{subject}.{name}" for name in NAMES[subject]}
    return {"counter.calls" if name == "gossip.counter.calls" else name for name in names}


# Slopes of the scale runs are taken from their reports, one run a size; each must be of the distribution.
RUN_COMMAND = "petrelhall scale distribution --gateways N --json"
RUN_PREFIX = "distribution."


def repeats(slope: Slope) -> bool:
    """Tell whether the command of a slope is one that measures it."""
    if slope.name.startswith(RUN_PREFIX):
        return slope.command == RUN_COMMAND
    return slope.command.startswith("python -m benchmarks.scale --only ") and slope.command.split()[-1] in SUBJECTS


def faults(slope: Slope) -> list[str]:
    """Say what is wrong with the form of a slope."""
    found = []
    if not len(slope.sizes) == len(slope.values) == len(slope.spread) >= LEAST_SIZES:
        found.append("fewer than four sizes, or not a value and a spread for each")
    if list(slope.sizes) != sorted(set(slope.sizes)) or slope.sizes[0] <= 0:
        found.append("sizes must rise")
    figures = (*slope.values, *slope.spread, *slope.coefficients, slope.error)
    if not all(map(math.isfinite, figures)) or min(*slope.values, *slope.spread, slope.error) < 0:
        found.append("a figure is not finite or below 0")
    if len(slope.coefficients) != COEFFICIENTS[slope.curve]:
        found.append("wrong number of coefficients")
    worst = max(
        abs(slope.at(size) - value) / value for size, value in zip(slope.sizes, slope.values, strict=True) if value
    )
    if abs(worst - slope.error) > 1e-3 * max(1.0, worst):
        found.append(f"the error is {worst:.4f}, not {slope.error:.4f} as stated")
    if not repeats(slope):
        found.append("the command repeats nothing")
    if not all((slope.title.endswith("."), slope.leaves_out.endswith("."), slope.unit, slope.variable)):
        found.append("not described")
    return [f"{slope.name}: {reason}" for reason in found]


class FitTest(unittest.TestCase):
    def assert_found(self, curve: Curve, *coefficients: float) -> None:
        exact = Slope("a.b", "t", "ms", "n", SIZES, SIZES, SIZES, curve, coefficients, 0.0, "c", "l")
        found = fit(SIZES, [exact.at(size) for size in SIZES])
        self.assertEqual(found.curve, curve)
        self.assertEqual(len(found.coefficients), len(coefficients))
        for one, other in zip(found.coefficients, coefficients, strict=True):
            self.assertAlmostEqual(one / other, 1.0, places=5)
        self.assertLess(found.error, 1e-6)

    def test_a_constant_is_found(self) -> None:
        self.assert_found(Curve.CONSTANT, 7.0)

    def test_a_line_is_found(self) -> None:
        self.assert_found(Curve.LINEAR, 3.0, 0.25)

    def test_a_logarithm_is_found(self) -> None:
        self.assert_found(Curve.LOGARITHMIC, 5.0, 40.0)

    def test_a_power_is_found(self) -> None:
        self.assert_found(Curve.POWER, 0.02, 1.7)

    def test_a_quadratic_is_found(self) -> None:
        self.assert_found(Curve.QUADRATIC, 50.0, 2.0, 0.01)

    def test_noise_below_the_tolerance_does_not_buy_a_more_complex_curve(self) -> None:
        noisy = [(10.0 + 2.0 * size) * (1.0 + 0.01 * (-1) ** place) for place, size in enumerate(SIZES)]
        self.assertEqual(fit(SIZES, noisy).curve, Curve.LINEAR)

    def test_the_error_is_the_largest_relative_residual(self) -> None:
        found = fit((1.0, 2.0, 3.0, 4.0), (10.0, 10.0, 10.0, 10.0))
        self.assertEqual(found.curve, Curve.CONSTANT)
        self.assertLess(found.error, 1e-12)
        sizes, values = (1.0, 10.0, 100.0, 1000.0), (10.0, 30.0, 10.0, 90.0)
        found = fit(sizes, values)
        slope = Slope("a.b", "t", "ms", "n", sizes, values, values, found.curve, found.coefficients, 0.0, "c", "l")
        residuals = [abs(slope.at(size) - value) / value for size, value in zip(sizes, values, strict=True)]
        self.assertAlmostEqual(found.error, max(residuals), places=6)
        self.assertGreater(found.error, 0.1)

    def test_no_curve_falls_again_beyond_the_sizes(self) -> None:
        found = fit(SIZES, [1000.0 + 3.0 * size - 0.0007 * size**2 for size in SIZES])
        self.assertNotEqual(found.curve, Curve.QUADRATIC)


class SamplesTest(unittest.TestCase):
    def test_a_slope_holds_medians_and_the_range_about_them(self) -> None:
        samples = Samples("a.b", "t", "ms", "n", "l")
        for size in (1.0, 2.0, 3.0, 4.0):
            samples.add(size, 9.0 * size, 10.0 * size, 14.0 * size)
        slope = samples.slope()
        self.assertEqual(slope.values, (10.0, 20.0, 30.0, 40.0))
        self.assertEqual(slope.spread, (0.5, 0.5, 0.5, 0.5))
        self.assertEqual(slope.command, "python -m benchmarks.scale --only a")


class SubjectsTest(unittest.TestCase):
    def test_every_subject_yields_its_slopes(self) -> None:
        self.assertEqual(set(SUBJECTS), set(NAMES))
        for subject, measure in SUBJECTS.items():
            with self.subTest(subject):
                slopes = list(measure(TINY))
                self.assertEqual({slope.name for slope in slopes}, slope_names(subject))
                self.assertEqual({slope.command.split()[-1] for slope in slopes}, {subject})
                self.assertEqual([reason for slope in slopes for reason in faults(slope)], [])

    def test_counted_costs_are_those_of_the_plans(self) -> None:
        planned = {slope.name: slope for slope in SUBJECTS["members"](TINY)}
        self.assertEqual(planned["members.messages"].values, (10.0,) * 4)  # a tenth of 100 messages a second


class RecordTest(unittest.TestCase):
    def setUp(self) -> None:
        self.record: Record = read_record(RECORD)

    def test_names_are_unique_and_every_slope_is_sound(self) -> None:
        names = [slope.name for slope in self.record.slopes]
        self.assertEqual(len(names), len(set(names)))
        self.assertEqual([reason for slope in self.record.slopes for reason in faults(slope)], [])

    def test_it_holds_every_slope_of_every_subject(self) -> None:
        expected = {name for subject in SUBJECTS for name in slope_names(subject)}
        runs = {slope.name for slope in self.record.slopes if slope.command == RUN_COMMAND}
        self.assertTrue(all(name.startswith(RUN_PREFIX) for name in runs), runs)
        self.assertEqual({slope.name for slope in self.record.slopes} - runs, expected)

    def test_every_subject_has_a_plot(self) -> None:
        measured = [slope for slope in self.record.slopes if slope.command != RUN_COMMAND]
        for subject in {slope.command.split()[-1] for slope in measured}:
            path = RECORD.parent / f"{subject}.png"
            self.assertLess(path.stat().st_size, MOST_PLOT_BYTES, subject)


class ProgramTest(unittest.TestCase):
    def test_one_subject_measured_again_leaves_the_others(self) -> None:
        record = read_record(RECORD)
        again = list(SUBJECTS["document"](TINY))
        merged = program.merged(record.slopes, again)
        self.assertEqual({slope.name for slope in merged}, {slope.name for slope in record.slopes} | names(again))
        by_name = {slope.name: slope for slope in merged}
        self.assertEqual(by_name["document.routes.bytes"].sizes, (2.0, 4.0, 8.0, 16.0))
        for slope in record.slopes:
            if slope.name not in names(again):
                self.assertEqual(by_name[slope.name], slope)


def names(slopes: list[Slope]) -> set[str]:
    return {slope.name for slope in slopes}
