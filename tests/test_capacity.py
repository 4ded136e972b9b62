"""The capacity tables: curves, rates, figures, the missing ones, the command, and the page held against its record."""

from __future__ import annotations

import math
import os
import re
import tempfile
import unittest
from pathlib import Path

import msgspec
from click.testing import CliRunner, Result
from hypothesis import given, settings
from hypothesis import strategies as st

from petrelhall.accord import documents
from petrelhall.capacity import figures, workload
from petrelhall.capacity.figures import Quantity, Role, definitions
from petrelhall.capacity.findings import outcomes
from petrelhall.capacity.missing import MECHANISMS, missing
from petrelhall.capacity.page import BEGIN, END, PageError, held, renewed, section
from petrelhall.capacity.records import RECORD_FORMAT, Curve, Record, Slope, read_record, write_record
from petrelhall.capacity.sizes import Budget, Size, SizeError, checked
from petrelhall.capacity.tables import Figure, RecordError, Tables, tables
from petrelhall.capacity.words import amount, judged, significant
from petrelhall.capacity.workload import ordinary, worst_minutes
from petrelhall.cli import ask
from petrelhall.cli.capacity import RECORD
from petrelhall.cli.main import main
from petrelhall.decide import policy
from petrelhall.gateway import program
from petrelhall.links import pool
from petrelhall.quota import ledger

PAGE = Path(__file__).resolve().parents[1] / "docs" / "CAPACITY.md"


def a_slope(
    name: str,
    coefficients: tuple[float, ...],
    curve: Curve = Curve.LINEAR,
    unit: str = "ms",
    variable: str = "servers",
    sizes: tuple[float, ...] = (190.0, 1900.0, 10000.0, 19000.0),
) -> Slope:
    """An invented slope: the fit is exact."""
    return Slope(
        name, "Invented.", unit, variable, sizes, sizes, (0.0,) * 4, curve, coefficients, 0.0, "none", "Everything."
    )


def a_record(*slopes: Slope) -> Record:
    return Record(RECORD_FORMAT, "a machine", "3.11", "abc1234", "2026-12-02", slopes)


def find(worked_out: Tables, role: Role, quantity: Quantity, subject: str) -> Figure:
    (found,) = [figure for figure in worked_out.of(role) if figure.quantity is quantity and figure.subject == subject]
    return found


LISTS = a_slope("discovery.whole_list.cpu", (0.0, 0.006))
CHANGES = a_slope("discovery.change.cpu", (0.1, 0.0001))


class Curves(unittest.TestCase):
    """A fitted curve at points that are known."""

    def test_each_curve_at_a_known_point(self) -> None:
        for curve, coefficients, size, expected in (
            (Curve.CONSTANT, (5.0,), 1e6, 5.0),
            (Curve.LINEAR, (1.0, 2.0), 10.0, 21.0),
            (Curve.LOGARITHMIC, (1.0, 2.0), math.e, 3.0),
            (Curve.QUADRATIC, (1.0, 2.0, 3.0), 10.0, 321.0),
            (Curve.POWER, (2.0, 1.5), 4.0, 16.0),
        ):
            with self.subTest(curve=curve):
                self.assertAlmostEqual(a_slope("x", coefficients, curve).at(size), expected)

    def test_a_cost_below_nothing_is_nothing(self) -> None:
        self.assertEqual(a_slope("x", (-5.0, 0.1)).at(10.0), 0.0)

    def test_how_far_a_size_is_beyond_what_was_measured(self) -> None:
        self.assertEqual(a_slope("x", (0.0, 1.0)).extrapolation(38000.0), 2.0)

    @given(
        st.tuples(st.floats(0.0, 1e3), st.floats(0.0, 1e3)),
        st.floats(1.0, 1e6),
        st.floats(1.0, 1e6),
        st.sampled_from([Curve.LINEAR, Curve.LOGARITHMIC]),
    )
    def test_costs_that_rise_with_the_size_do_so(
        self, coefficients: tuple[float, float], one: float, other: float, curve: Curve
    ) -> None:
        slope = a_slope("x", coefficients, curve)
        self.assertLessEqual(slope.at(min(one, other)), slope.at(max(one, other)))

    @given(
        st.sampled_from([Curve.LINEAR, Curve.LOGARITHMIC, Curve.POWER]),
        st.tuples(st.floats(-1e3, 1e3), st.floats(-3.0, 3.0)),
        st.floats(1.0, 1e6),
    )
    def test_no_cost_is_negative(self, curve: Curve, coefficients: tuple[float, float], size: float) -> None:
        self.assertGreaterEqual(a_slope("x", coefficients, curve).at(size), 0.0)


class Workload(unittest.TestCase):
    """Rates worked out by hand for the operators' plan: 21,110 machines, 3,026 of which go a day."""

    def test_an_ordinary_day(self) -> None:
        day = ordinary(Size())
        self.assertAlmostEqual(day.changes, 0.12731, places=5)  # 11,000 / 86,400
        self.assertAlmostEqual(day.gateway_starts, 0.0034841, places=7)  # 3,026 x 2,100 / 21,110 / 86,400
        self.assertAlmostEqual(day.list_changes, 0.063045, places=6)  # 2 x 3,026 x 19,000 / 21,110 / 86,400
        self.assertAlmostEqual(day.requests, 80.952, places=3)
        self.assertAlmostEqual(day.tenants_seen, 1214.3, places=1)  # 80.95 requests/s x 15 s

    def test_the_worst_minutes(self) -> None:
        minutes = {rates.name: rates for rates in worst_minutes(Size())}
        for rates in minutes.values():
            self.assertAlmostEqual(rates.changes, 1.0185, places=4)  # 8 x 11,000 / 86,400
        self.assertAlmostEqual(minutes["rollout"].list_changes, 0.63045, places=5)
        self.assertAlmostEqual(minutes["rollout"].gateway_starts, 0.034841, places=6)
        self.assertAlmostEqual(minutes["rack lost"].list_changes, 0.66308, places=5)  # + 40 x 19,000 / 21,110 / 60
        self.assertAlmostEqual(minutes["zone lost"].list_changes, 19.8547, places=4)  # + 19,000 / 16 / 60
        self.assertAlmostEqual(minutes["zone lost"].requests, 86.349, places=3)  # x 16 / 15
        self.assertAlmostEqual(minutes["zone lost"].reconnections, 2.0543, places=4)  # + 2,100 x 15 / 16 / 16 / 60
        self.assertAlmostEqual(minutes["region back"].list_changes, 63.3964, places=4)  # + 19,000 / 5 / 60
        self.assertAlmostEqual(minutes["region back"].whole_lists, 7.0035, places=4)  # + 2,100 / 5 / 60
        self.assertAlmostEqual(minutes["zone starts"].gateway_starts, 2.1910, places=4)  # + 2,100 / 16 / 60

    def test_a_deployment_of_one_zone_has_nobody_to_take_its_requests(self) -> None:
        minutes = {rates.name: rates for rates in worst_minutes(Size(zones=1, regions=1))}
        self.assertAlmostEqual(minutes["zone lost"].requests, 80.952, places=3)

    @given(
        st.builds(
            Size,
            gateways=st.integers(1, 10**5),
            servers=st.integers(360, 10**6),
            tenants=st.integers(1, 10**7),
            zones=st.integers(5, 100),
            control_machines=st.integers(0, 100),
            changes_per_day=st.floats(0.0, 1e7),
            restarts_per_day=st.floats(0.0, 1e7),
        )
    )
    def test_no_minute_is_calmer_than_the_day_and_no_rate_negative(self, size: Size) -> None:
        day = msgspec.structs.asdict(ordinary(checked(size)))
        for rates in worst_minutes(size):
            for name, value in msgspec.structs.asdict(rates).items():
                if name not in ("name", "why", "whole_lists_here"):
                    self.assertGreaterEqual(value, day[name], name)
                    self.assertGreaterEqual(value, 0.0)


class Sizes(unittest.TestCase):
    """Sizes that cannot exist."""

    def test_they_are_refused_by_the_field(self) -> None:
        for size, field in (
            (Size(gateways=0), "gateways"),
            (Size(requests_per_second=-1.0), "requests_per_second"),
            (Size(changes_per_day=math.inf), "changes_per_day"),
            (Size(restarts_per_day=math.nan), "restarts_per_day"),
            (Size(zones=3), "zones"),
            (Size(servers=359), "services"),
        ):
            with self.subTest(field=field), self.assertRaisesRegex(SizeError, field):
                checked(size)

    def test_the_operators_plan_is_the_default(self) -> None:
        self.assertEqual(checked(Size()), Size())
        self.assertEqual(round(Size().requests_per_gateway), 81)


class Figures(unittest.TestCase):
    """Figures from a small invented record."""

    def test_a_figure_is_slope_times_size_against_its_budget(self) -> None:
        worked_out = tables(a_record(LISTS, CHANGES), Size())
        turn = find(worked_out, Role.CONTROL, Quantity.TURN, "a whole list of servers")
        assert turn.worst is not None and turn.miss is not None
        self.assertAlmostEqual(turn.worst, 0.114)  # 0.006 ms x 19,000
        self.assertAlmostEqual(turn.miss, 95.0)  # / 1.2 ms
        self.assertEqual(turn.verdict, "misses")
        self.assertEqual(turn.source, "discovery.whole_list.cpu(19,000 servers)")
        changes = find(worked_out, Role.CONTROL, Quantity.CPU, "changes of the list of servers")
        assert changes.worst is not None and changes.ordinary is not None
        self.assertAlmostEqual(changes.ordinary, 0.063045 * 0.002, places=7)
        self.assertAlmostEqual(changes.worst, 63.3964 * 0.002, places=6)  # 12.7% of a core
        self.assertEqual(changes.worst_minute, "region back")

    def test_what_is_not_in_the_record_is_not_measured_and_never_guessed(self) -> None:
        worked_out = tables(a_record(LISTS), Size())
        lease = find(worked_out, Role.CONTROL, Quantity.DURATION, "lease")
        self.assertEqual((lease.worst, lease.miss, lease.verdict), (None, None, "not measured"))
        self.assertEqual(lease.unmeasured, ("accord.lease",))
        document = find(worked_out, Role.CONTROL, Quantity.TURN, "a configuration change")
        self.assertEqual(document.unmeasured, ("document.tenants.cpu", "document.routes.cpu"))
        text = section(a_record(LISTS), worked_out)
        self.assertIn("| duration: lease | not measured | not measured | 4 s | not measured | accord.lease |", text)

    def test_one_measured_part_of_a_figure_is_not_the_figure(self) -> None:
        tenants = a_slope("document.tenants.cpu", (0.0, 0.01), variable="tenants")
        figure = find(tables(a_record(tenants), Size()), Role.CONTROL, Quantity.TURN, "a configuration change")
        self.assertEqual((figure.worst, figure.unmeasured), (None, ("document.routes.cpu",)))

    def test_a_total_says_what_it_is_without(self) -> None:
        small = a_slope("members.cpu", (1.0,), Curve.CONSTANT, "ms/s", "gateways")
        total = find(tables(a_record(small), Size()), Role.CONTROL, Quantity.CPU, "total")
        self.assertEqual((total.worst, total.verdict), (0.001, "fits so far"))
        self.assertIn("accord.cpu", total.unmeasured)
        large = a_slope("members.cpu", (62.0,), Curve.CONSTANT, "ms/s", "gateways")
        total = find(tables(a_record(large), Size()), Role.CONTROL, Quantity.CPU, "total")
        assert total.miss is not None
        self.assertAlmostEqual(total.miss, 2.0)  # 62 ms/s / 3.1%
        self.assertEqual(total.verdict, "misses")

    def test_only_turns_longer_than_a_request_may_be_delayed_count_as_long(self) -> None:
        for coefficient, expected in ((0.00006, 0.0), (0.0001, 63.3964 * 0.0019)):
            change = a_slope("discovery.change.cpu", (0.0, coefficient))
            figure = find(
                tables(a_record(change), Size()), Role.CONTROL, Quantity.DELAYED, "lists of servers and configuration"
            )
            assert figure.worst is not None
            self.assertAlmostEqual(figure.worst, expected, places=6)  # turns of 1.14 and of 1.9 ms

    def test_a_size_beyond_what_was_measured_is_told(self) -> None:
        worked_out = tables(a_record(LISTS), Size(servers=38000))
        figure = find(worked_out, Role.CONTROL, Quantity.TURN, "a whole list of servers")
        self.assertEqual(figure.extrapolation, 2.0)
        self.assertIn("2x beyond the measured sizes", section(a_record(LISTS), worked_out))
        self.assertEqual(judged(figure), "misses x190, extrapolated")
        self.assertIn("a whole list of servers; extrapolated", missing(worked_out)[0].figure)
        self.assertNotIn("beyond the measured", section(a_record(LISTS), tables(a_record(LISTS), Size())))

    def test_a_size_below_what_was_measured_is_told(self) -> None:
        cpu = a_slope("accord.cpu", (0.0, 0.1), unit="ms/s", variable="gateways")
        figure = find(tables(a_record(cpu), Size()), Role.REPLICA, Quantity.CPU, "consensus at rest")
        assert figure.worst is not None
        self.assertAlmostEqual(figure.worst, 0.0005)  # five replicas
        self.assertIn("(5 replicas, below the measured sizes)", figure.source)

    def test_gateways_are_spread_over_the_distributors(self) -> None:
        for size, expected in ((Size(), 420.0), (Size(control_machines=7), 1050.0), (Size(control_machines=0), 2100.0)):
            figure = find(tables(a_record(LISTS), size), Role.DISTRIBUTOR, Quantity.DESCRIPTORS, "watches")
            self.assertEqual(figure.worst, expected)

    def test_units_are_turned_into_base_units(self) -> None:
        for unit, expected in (("MiB", 19000.0 * 2**20), ("bytes", 19000.0)):
            memory = a_slope("links.memory", (0.0, 1.0), unit=unit)
            figure = find(tables(a_record(memory), Size()), Role.SERVING, Quantity.MEMORY, "connection pool")
            self.assertEqual(figure.worst, expected)
        cpu = a_slope("decide.request.cpu", (0.0, 0.01), unit="us")
        figure = find(tables(a_record(cpu), Size()), Role.SERVING, Quantity.CPU, "decisions")
        assert figure.ordinary is not None and figure.worst is not None
        self.assertAlmostEqual(figure.ordinary, 190e-6 * 80.95238)
        self.assertEqual(figure.worst_minute, "zone lost")

    def test_each_role_has_each_quantity(self) -> None:
        every = set(Quantity) - {Quantity.STATE_BYTES, Quantity.TURN, Quantity.DELAYED, Quantity.DURATION}
        every -= {Quantity.STATE}
        for role in Role:
            held_by = {definition.quantity for definition in definitions() if definition.role is role}
            self.assertFalse(every - held_by, f"{role}: {every - held_by}")
            self.assertTrue(held_by & {Quantity.STATE, Quantity.STATE_BYTES}, role)

    def test_no_figure_is_there_twice(self) -> None:
        names = [(definition.role, definition.quantity, definition.subject) for definition in definitions()]
        self.assertEqual(len(names), len(set(names)))

    def test_constants_of_the_program_are_those_of_the_program(self) -> None:
        self.assertEqual(figures.OWN_DESCRIPTORS, program.RESERVED_DESCRIPTORS)
        self.assertEqual(figures.CLIENT_SHARE, program.CLIENT_SHARE)
        self.assertEqual(figures.DESCRIPTORS, Budget().descriptors)
        self.assertEqual(figures.POOL_CLOCK_S * 1000.0, pool.TICK_MS)
        self.assertEqual(figures.QUOTA_CLOCK_S * 1000.0, ledger.TURN_MS)
        self.assertEqual(figures.CALLS_AT_ONCE, ask.CALLS_AT_ONCE)
        self.assertEqual(Budget().document_bytes, documents.MAX_DOCUMENT_BYTES)
        self.assertEqual(workload.TENANT_KEPT_S * 1000.0, policy.IDLE_CUSTOMER_TTL_MS)

    def test_records_that_cannot_be_used(self) -> None:
        for record, reason in (
            (a_record(LISTS, LISTS), "twice"),
            (msgspec.structs.replace(a_record(LISTS), format=9), "format 9"),
            (a_record(msgspec.structs.replace(LISTS, unit="parsec")), "unit 'parsec'"),
            (a_record(msgspec.structs.replace(LISTS, variable="moons")), "'moons' is not part of a size"),
            (a_record(msgspec.structs.replace(LISTS, coefficients=())), "a curve cannot be worked out"),
            (a_record(a_slope("discovery.whole_list.cpu", (1.0, 500.0), Curve.POWER)), "a curve cannot"),
        ):
            with self.subTest(reason=reason), self.assertRaisesRegex(RecordError, reason):
                tables(record, Size())

    @settings(max_examples=30, deadline=None)
    @given(st.integers(360, 10**5), st.integers(360, 10**5), st.tuples(st.floats(0.0, 10.0), st.floats(0.0, 1.0)))
    def test_more_servers_never_cost_less(self, one: int, other: int, coefficients: tuple[float, float]) -> None:
        record = a_record(a_slope("discovery.whole_list.cpu", coefficients))
        few, many = (tables(record, Size(servers=servers)) for servers in sorted((one, other)))
        for quantity, subject in (
            (Quantity.TURN, "a whole list of servers"),
            (Quantity.CPU, "whole lists of servers"),
        ):
            costs = [find(worked_out, Role.CONTROL, quantity, subject).worst for worked_out in (few, many)]
            assert costs[0] is not None and costs[1] is not None
            self.assertLessEqual(0.0, costs[0])
            self.assertLessEqual(costs[0], costs[1])


class MissingMechanisms(unittest.TestCase):
    """The order of what is missing follows from the figures."""

    def test_each_names_figures_that_exist(self) -> None:
        names = {(definition.role, definition.quantity, definition.subject) for definition in definitions()}
        for mechanism in MECHANISMS:
            self.assertLessEqual(set(mechanism.answers), names, mechanism.name)

    def test_what_misses_most_is_first_and_what_was_not_measured_last(self) -> None:
        lease = a_slope("accord.lease", (0.0, 200.0), variable="gateways")  # 420 s: 105 times 4 s
        for lists_ms, first in ((0.006, "configuration distribution"), (0.007, "incremental decoding")):  # 95, 110.8
            record = a_record(lease, a_slope("discovery.whole_list.cpu", (0.0, lists_ms)))
            found = missing(tables(record, Size()))
            self.assertTrue(found[0].name.startswith(first))
            misses = [one.miss for one in found if one.miss is not None]
            self.assertEqual(misses, sorted(misses, reverse=True))
            self.assertIsNone(found[-1].miss)
            self.assertEqual(len(found), len(MECHANISMS))


class Findings(unittest.TestCase):
    """Earlier figures against a record."""

    def test_a_figure_is_confirmed_within_a_quarter_and_refuted_beyond(self) -> None:
        for lists_ms, confirmed in ((0.0056, True), (0.0070, True), (0.0071, False), (0.0046, True), (0.0044, False)):
            record = a_record(a_slope("discovery.whole_list.cpu", (0.0, lists_ms)))  # 107 ms were said
            (outcome,) = [one for one in outcomes(record) if one.slope == "discovery.whole_list.cpu"]
            self.assertEqual(outcome.confirmed, confirmed, lists_ms)

    def test_a_figure_without_a_slope_is_neither(self) -> None:
        record = a_record(a_slope("discovery.whole_list.cpu", (0.0, 0.0281578947)))
        text = section(record, tables(record, Size()))
        self.assertIn("| discovery.whole_list.cpu(19,000) | 107 ms | 535 ms | 0% | refuted: 5 times that |", text)
        self.assertIn("| accord.lease(2,100) | 421 s | not measured |  | not measured |", text)


class Distribution(unittest.TestCase):
    """What is measured of the distribution of configurations stands beside what runs today."""

    def record(self) -> Record:
        sizes = (100.0, 300.0, 1000.0, 2100.0)
        slopes = {
            "distribution.gateway.rest.cpu": ("ms/s", 1.0),
            "distribution.gateway.changes.cpu": ("ms/s", 5.0),
            "members.cpu": ("ms/s", 10.0),
            "accord.cpu": ("ms/s", 50.0),
            "distribution.in_force.slowest": ("ms", 3000.0),
        }
        return a_record(
            *(
                a_slope(name, (value,), Curve.CONSTANT, unit, "gateways", sizes)
                for name, (unit, value) in slopes.items()
            )
        )

    def test_a_gateway_is_between_rest_and_one_change_a_second(self) -> None:
        cpu = find(tables(self.record(), Size()), Role.CONTROL, Quantity.CPU, "as a learner of configurations")
        assert cpu.ordinary is not None and cpu.worst is not None
        self.assertAlmostEqual(cpu.ordinary, 0.001 * (0.12731 * 5.0 + 0.87269 * 1.0), places=7)
        self.assertAlmostEqual(cpu.worst, 0.001 * 1.01852 * 5.0, places=7)  # 1.02 changes/s: no rest is left

    def test_a_total_has_consensus_or_the_learner_and_never_both(self) -> None:
        worked_out = tables(self.record(), Size())
        today = find(worked_out, Role.CONTROL, Quantity.CPU, "total")
        planned = find(worked_out, Role.CONTROL, Quantity.CPU, "total, as a learner in place of consensus")
        assert today.worst is not None and planned.worst is not None
        self.assertAlmostEqual(today.worst, 0.06, places=12)
        self.assertAlmostEqual(planned.worst, 0.01 + 0.001 * 1.01852 * 5.0, places=7)
        self.assertNotIn("distribution.gateway.rest.cpu", today.unmeasured)
        self.assertNotIn("document.tenants.cpu", planned.unmeasured)

    def test_it_counts_as_built_only_where_it_was_measured(self) -> None:
        for record, begun in ((self.record(), True), (a_record(LISTS), False)):
            worked_out = tables(record, Size())
            watches = find(worked_out, Role.DISTRIBUTOR, Quantity.DESCRIPTORS, "watches")
            self.assertEqual(watches.carried_by.startswith("not built: "), not begun)
            (one,) = [one for one in missing(worked_out) if one.name.startswith("configuration distribution")]
            self.assertEqual(one.begun, begun)
            self.assertEqual("a first piece is built" in section(record, worked_out), begun)

    def test_its_changes_are_held_to_the_four_seconds(self) -> None:
        subject = "change submitted to in force everywhere, slowest"
        figure = find(tables(self.record(), Size()), Role.DISTRIBUTOR, Quantity.DURATION, subject)
        self.assertEqual((figure.worst, figure.miss, figure.verdict), (3.0, 0.75, "fits"))


class Words(unittest.TestCase):
    """Numbers as they are written."""

    def test_numbers(self) -> None:
        for value, expected in ((0.0, "0"), (0.01234, "0.0123"), (99.94, "99.9"), (99.96, "100"), (1e6, "1,000,000")):
            self.assertEqual(significant(value), expected)
        for value, quantity, expected in (
            (0.107, Quantity.TURN, "107 ms"),
            (4.0, Quantity.DURATION, "4 s"),
            (2.66e6, Quantity.BYTES_IN, "2.66 MB/s"),
            (128e6, Quantity.MEMORY, "128 MB"),
            (0.031, Quantity.CPU, "3.1%"),
            (None, Quantity.CPU, "not measured"),
        ):
            self.assertEqual(amount(value, quantity), expected)

    def test_a_page_has_one_section(self) -> None:
        page = f"before\n{BEGIN}\nold\n{END}\nafter\n"
        self.assertEqual(held(page), "old\n")
        self.assertEqual(renewed(page, "new\n"), f"before\n{BEGIN}\nnew\n{END}\nafter\n")
        for wrong in ("", f"{BEGIN}\n", END, page + page, f"{END}\n{page}"):
            with self.assertRaises(PageError):
                held(wrong)


class Command(unittest.TestCase):
    """``petrelhall capacity``."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.record = self.folder / "slopes.json"
        write_record(self.record, a_record(LISTS, CHANGES))

    def call(self, *arguments: str) -> Result:
        return CliRunner().invoke(main, ["capacity", "--record", str(self.record), *arguments])

    def test_it_prints_the_tables(self) -> None:
        result = self.call()
        self.assertEqual(result.exit_code, 0, result.output)
        for role in Role:
            self.assertIn(role.value, result.output)
        self.assertIn("1. incremental decoding of server lists: missed by 95 times", result.output)
        self.assertNotIn("(`boxes", result.output)
        self.assertIn("(`boxes", self.call("--sources").output)

    def test_json_reads_back_as_the_tables(self) -> None:
        result = self.call("--json", "--gateways", "300", "--servers", "2500", "--tenants", "9000")
        self.assertEqual(result.exit_code, 0, result.output)
        expected = tables(a_record(LISTS, CHANGES), Size(gateways=300, servers=2500, tenants=9000))
        self.assertEqual(msgspec.json.decode(result.output, type=Tables), expected)

    def test_every_part_of_a_size_has_an_option(self) -> None:
        for name in Size.__struct_fields__:
            option = f"--{name.replace('_', '-')}"
            result = self.call("--json", option, "400")
            self.assertEqual(result.exit_code, 0 if name not in ("regions",) else 2, f"{option}: {result.output}")

    def test_a_page_is_renewed_and_checked(self) -> None:
        page = self.folder / "page.md"
        page.write_text(f"# A page\n\n{BEGIN}\n{END}\n", encoding="utf-8")
        self.assertEqual(self.call("--check", str(page)).exit_code, 1)
        self.assertEqual(self.call("--update", str(page)).exit_code, 0)
        self.assertEqual(self.call("--check", str(page)).exit_code, 0)
        self.assertIn(self.call("--markdown").output, page.read_text(encoding="utf-8"))
        result = self.call("--check", str(page), "--gateways", "2000")
        self.assertEqual(result.exit_code, 1)
        self.assertEqual(len(result.output.splitlines()), 1)
        text = page.read_text(encoding="utf-8")
        self.assertTrue(text.startswith("# A page\n"))
        page.write_text(text.replace("114 ms", "14 ms"), encoding="utf-8")
        self.assertEqual(self.call("--check", str(page)).exit_code, 1)

    def test_what_is_unusable_ends_with_2_and_one_line(self) -> None:
        broken, old = self.folder / "broken.json", self.folder / "old.json"
        broken.write_text("{", encoding="utf-8")
        old.write_text(self.record.read_text(encoding="utf-8").replace('"format": 1', '"format": 0'), encoding="utf-8")
        no_marks = self.folder / "page.md"
        no_marks.write_text("# A page\n", encoding="utf-8")
        for arguments, reason in (
            (["--gateways", "0"], "size: .*gateways"),
            (["--zones", "2"], "size: zones: 2 zones cannot make up 5 regions"),
            (["--changes-per-day", "nan"], "size: .*changes_per_day"),
            (["--record", str(self.folder / "none.json")], "none.json: No such file"),
            (["--record", str(broken)], "broken.json: "),
            (["--record", str(old)], "old.json: format 0"),
            (["--check", str(self.folder / "none.md")], "none.md: No such file"),
            (["--check", str(no_marks)], "page.md: no section"),
            (["--update", str(no_marks)], "page.md: no section"),
        ):
            with self.subTest(arguments=arguments):
                result = self.call(*arguments)
                self.assertEqual(result.exit_code, 2, result.output)
                self.assertEqual(len(result.output.splitlines()), 1, result.output)
                self.assertTrue(re.search(reason, result.output), result.output)

    def test_one_form_of_output_at_a_time(self) -> None:
        self.assertEqual(self.call("--json", "--markdown").exit_code, 2)


class Page(unittest.TestCase):
    """docs/CAPACITY.md, its record and the command."""

    def test_the_page_holds_what_record_and_command_give(self) -> None:
        result = CliRunner().invoke(main, ["capacity", "--check", str(PAGE)])
        self.assertEqual(result.exit_code, 0, result.output)

    def test_every_slope_has_four_sizes_and_says_how_it_was_measured(self) -> None:
        for slope in read_record(RECORD).slopes:
            with self.subTest(slope=slope.name):
                self.assertGreaterEqual(len(set(slope.sizes)), 4)
                self.assertEqual({len(slope.sizes)}, {len(slope.values), len(slope.spread)})
                self.assertTrue(slope.command and slope.leaves_out and slope.title)
                self.assertTrue(math.isfinite(slope.error))

    def test_what_the_page_links_to_is_there(self) -> None:
        for target in re.findall(r"\]\((?!https?:)([^)#]+)", PAGE.read_text(encoding="utf-8")):
            self.assertTrue(os.path.exists(PAGE.parent / target), target)

    def test_the_page_says_why_a_cost_is_not_linear(self) -> None:
        prose = PAGE.read_text(encoding="utf-8").partition(BEGIN)[0]
        for slope in read_record(RECORD).slopes:
            if slope.curve not in (Curve.LINEAR, Curve.CONSTANT):
                self.assertIn(f"`{slope.name}`", prose)

    def test_every_plot_is_on_the_page(self) -> None:
        page = PAGE.read_text(encoding="utf-8")
        for plot in sorted(RECORD.parent.glob("*.png")):
            self.assertIn(f"(capacity/{plot.name})", page)

    def test_the_page_is_for_the_operators_plan(self) -> None:
        self.assertIn("Worked out for 2,100 gateways, 19,000 servers", PAGE.read_text(encoding="utf-8"))
        self.assertEqual(Budget().added_latency_s, 0.0012)
