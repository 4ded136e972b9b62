"""Connections to servers: the decisions of the connection plan, event by event, and how it learns idle limits."""

from __future__ import annotations

import random
import unittest

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from petrelhall.links.limits import (
    BUCKET_COUNT,
    MIN_IDLE_LIMIT_MS,
    NEVER,
    SurvivalEstimate,
    bucket_index,
    bucket_start_ms,
)
from petrelhall.links.opening import WAIT_RETRY_MS
from petrelhall.links.plan import ConnectFailure, ConnectionPlan, ConnectionRecord, ConnectionState, Unavailable, Wait
from petrelhall.links.reuse import MAX_REUSE_WAITS, REUSE_DELAY_MS
from petrelhall.links.staleness import DEATH_SPAN_MS
from petrelhall.operator.settings import Cold, Links, Stale

T0 = 1_000_000.0
HALF_LIFE_MS = 30000.0


class IdleLimitEstimate(unittest.TestCase):
    """Estimates of the idle limit that a server does not announce."""

    def test_buckets_cover_every_idle_time_without_a_gap(self) -> None:
        for bucket in range(BUCKET_COUNT):
            self.assertEqual(bucket_index(bucket_start_ms(bucket)), bucket)
            if bucket:
                self.assertEqual(bucket_index(bucket_start_ms(bucket) - 1e-3), bucket - 1)
        self.assertEqual(bucket_index(1e12), BUCKET_COUNT - 1)

    def simulate_uses(
        self,
        limit_of: object,
        seconds: float,
        estimate: SurvivalEstimate,
        start: float = T0,
        mean: float = 300.0,
        seed: int = 1,
    ) -> tuple[int, int]:
        """Use connections at random idle times where the estimate allows it; return the counts of uses and deaths."""
        draw, now, uses, deaths = random.Random(seed), start, 0, 0
        while now < start + seconds * 1000.0:
            now += 10.0
            idle = draw.expovariate(1.0 / mean)
            if idle >= estimate.idle_limit_ms(now, 0.01):
                continue
            uses += 1
            if idle > limit_of(now, draw):  # type: ignore[operator]
                deaths += 1
                estimate.record_broken(now, idle)
            else:
                estimate.record_served(now, idle)
        return uses, deaths

    def test_a_constant_limit_is_found_with_few_deaths(self) -> None:
        estimate = SurvivalEstimate(T0, HALF_LIFE_MS)
        uses, deaths = self.simulate_uses(lambda now, draw: 400.0, 120.0, estimate)
        self.assertLess(deaths, 10)
        self.assertGreater(uses, 6000)
        low, high = estimate.limit_bounds_ms(T0 + 120000.0)
        self.assertLessEqual(low, 400.0)
        self.assertGreaterEqual(high, 400.0)

    def test_a_limit_that_falls_from_2_s_to_400_ms_is_followed(self) -> None:
        estimate = SurvivalEstimate(T0, HALF_LIFE_MS)
        self.simulate_uses(lambda now, draw: 2000.0, 60.0, estimate)
        self.assertGreater(estimate.idle_limit_ms(T0 + 60000.0, 0.01), 1000.0)
        _, deaths = self.simulate_uses(lambda now, draw: 400.0, 60.0, estimate, T0 + 60000.0, seed=2)
        self.assertLess(deaths, 10)
        self.assertLessEqual(estimate.idle_limit_ms(T0 + 120000.0, 0.01), 450.0)

    def test_a_limit_that_grows_is_found_again_once_earlier_deaths_have_decayed(self) -> None:
        estimate = SurvivalEstimate(T0, HALF_LIFE_MS)
        self.simulate_uses(lambda now, draw: 300.0, 60.0, estimate)
        self.assertLess(estimate.idle_limit_ms(T0 + 60000.0, 0.01), 400.0)
        self.simulate_uses(lambda now, draw: 30000.0, 400.0, estimate, T0 + 60000.0)
        self.assertGreater(estimate.idle_limit_ms(T0 + 460000.0, 0.01), 1000.0)

    def test_limits_spread_from_300_to_900_ms_keep_the_share_of_deaths_small(self) -> None:
        estimate = SurvivalEstimate(T0, HALF_LIFE_MS)
        uses, deaths = self.simulate_uses(lambda now, draw: draw.uniform(300.0, 900.0), 300.0, estimate)
        self.assertLess(deaths / uses, 0.01)

    def test_connections_that_break_for_other_reasons_do_not_end_their_reuse(self) -> None:
        estimate, draw, now = SurvivalEstimate(T0, HALF_LIFE_MS), random.Random(3), T0
        for _ in range(5000):  # one use in 30 breaks, whatever the idle time, and also of fresh connections
            now += 10.0
            estimate.record_fresh_use(now, draw.random() < 1 / 30)
            idle = draw.expovariate(1 / 100.0)
            (estimate.record_broken if draw.random() < 1 / 30 else estimate.record_served)(now, idle)
        self.assertGreater(estimate.idle_limit_ms(now, 0.01), 100.0)

    def test_connections_seen_closing_bound_the_limit_from_both_sides(self) -> None:
        estimate = SurvivalEstimate(T0, HALF_LIFE_MS)
        for _ in range(5):
            estimate.record_closed(T0, 500.0)
        self.assertGreater(estimate.idle_limit_ms(T0, 0.01), 400.0)
        self.assertLessEqual(estimate.idle_limit_ms(T0, 0.01), 500.0)

    def test_connections_are_kept_for_a_minimum_time_whatever_was_observed(self) -> None:
        estimate = SurvivalEstimate(T0, HALF_LIFE_MS)
        for _ in range(50):
            estimate.record_broken(T0, 25.0)
        self.assertGreaterEqual(estimate.idle_limit_ms(T0, 0.01), MIN_IDLE_LIMIT_MS)

    def test_a_new_server_starts_from_the_estimate_of_the_fleet(self) -> None:
        fleet = SurvivalEstimate(T0, HALF_LIFE_MS)
        for idle in (100.0, 200.0, 300.0) * 20:
            fleet.record_served(T0, idle)
        for _ in range(20):
            fleet.record_closed(T0, 500.0)
        new_server = SurvivalEstimate(T0 + 1000.0, HALF_LIFE_MS, fleet)
        self.assertLess(new_server.idle_limit_ms(T0 + 1000.0, 0.01), 500.0)
        self.assertEqual(
            SurvivalEstimate(T0, HALF_LIFE_MS, SurvivalEstimate(T0, HALF_LIFE_MS)).idle_limit_ms(T0, 0.01), NEVER
        )

    def test_weights_are_rescaled_before_they_overflow(self) -> None:
        estimate = SurvivalEstimate(T0, 1000.0)
        for second in range(3000):
            estimate.record_served(T0 + 1000.0 * second, 100.0)
        self.assertLess(max(estimate.survivals), 1e15)
        self.assertEqual(estimate.idle_limit_ms(T0 + 3e6, 0.01), NEVER)


class PlanCase(unittest.TestCase):
    """Builds plans whose servers are warm unless the test says otherwise."""

    def plan(
        self,
        capacity: int = 100,
        servers: int = 1,
        started: float | None = 0.0,
        idle_ms: float = 30000.0,
        gateways: int = 1,
        seed: int = 0,
        now: float = T0,
        **settings: object,
    ) -> ConnectionPlan:
        plan = ConnectionPlan(Links(**settings), capacity, idle_ms, 10000.0, gateways, seed)  # type: ignore[arg-type]
        for number in range(servers):
            plan.add_server(now, f"b{number}", ("127.0.0.1", 1000 + number), started)
        return plan

    def take_busy(
        self, plan: ConnectionPlan, now: float = T0, server: str = "b0", repeatable: bool = True
    ) -> ConnectionRecord:
        """Take a connection, complete its opening if it is new, and return it in state BUSY."""
        link = plan.acquire(now, server, repeatable)
        assert isinstance(link, ConnectionRecord), link
        if link.state is ConnectionState.OPENING:
            plan.on_opened(now, link)
        return link

    def answer_and_release(self, plan: ConnectionPlan, now: float, link: ConnectionRecord) -> None:
        plan.on_response(now, link)
        plan.release(now, link, True)

    def make_idle(
        self, plan: ConnectionPlan, count: int, now: float = T0, server: str = "b0"
    ) -> list[ConnectionRecord]:
        links = [self.take_busy(plan, now, server) for _ in range(count)]
        for link in links:
            self.answer_and_release(plan, now, link)
        return links


class ConnectionBounds(PlanCase):
    """How many connections there may be."""

    def test_a_thousand_requests_on_a_new_gateway_open_no_more_than_the_bound_on_opening(self) -> None:
        plan = self.plan(capacity=2000, servers=4, per_box=500)
        results = [plan.acquire(T0, f"b{number % 4}", True) for number in range(1000)]
        self.assertEqual(sum(isinstance(result, ConnectionRecord) for result in results), 64)
        self.assertTrue(all(isinstance(result, ConnectionRecord | Wait) for result in results))
        self.assertLessEqual(max(server.opening for server in plan.servers.values()), 16)

    def test_a_server_never_has_more_connections_than_its_bound(self) -> None:
        plan = self.plan(per_box=5)
        for _ in range(5):
            self.take_busy(plan)
        self.assertEqual(plan.acquire(T0, "b0", True), Wait(WAIT_RETRY_MS, "box_bound"))

    def test_200_servers_share_the_connections_that_256_descriptors_allow(self) -> None:
        plan = self.plan(capacity=80, servers=200)
        for number in range(2000):
            link = self.take_busy(plan, T0 + number, f"b{number % 200}")
            self.answer_and_release(plan, T0 + number, link)
            self.assertLessEqual(plan.open, 80)
        self.assertGreater(plan.counts["retired.room"], 1000)
        busy = [self.take_busy(plan, T0 + 3000.0, f"b{number}") for number in range(80)]
        self.assertEqual(plan.acquire(T0 + 3000.0, "b90", True), Wait(WAIT_RETRY_MS, "total"))
        self.assertEqual(len(busy), 80)

    def test_a_bound_halved_by_reload_closes_busy_connections_as_they_come_free(self) -> None:
        plan = self.plan(per_box=8)
        links = [self.take_busy(plan) for _ in range(8)]
        plan.configure(Links(per_box=4, cold=Cold(at_once=2)))
        self.assertIsInstance(plan.acquire(T0, "b0", True), Wait)
        kept = [plan.release(T0, link, True) for link in links]
        self.assertEqual(sum(kept), 4)
        self.assertEqual(plan.open, 4)

    def test_a_bound_halved_by_reload_closes_idle_connections_at_once(self) -> None:
        plan = self.plan(per_box=8)
        self.make_idle(plan, 8)
        plan.configure(Links(per_box=4))
        self.assertEqual((plan.open, len(plan.closing)), (4, 4))

    def test_running_out_of_descriptors_lowers_the_total_bound_which_grows_again(self) -> None:
        plan = self.plan(capacity=100, servers=2)
        for _ in range(10):
            self.take_busy(plan)
        link = plan.acquire(T0, "b1", True)
        assert isinstance(link, ConnectionRecord)
        self.assertFalse(plan.on_connect_failed(T0, link, ConnectFailure.OURS))  # not a fault of the server
        self.assertIsInstance(plan.acquire(T0, "b1", True), Wait)
        self.assertIsInstance(plan.acquire(T0 + 600.0, "b1", True), ConnectionRecord)
        self.assertIsInstance(plan.acquire(T0 + 600.0, "b1", True), Wait)

    def test_4_gateways_share_a_server_limited_to_8_connections_without_coordination(self) -> None:
        plans = [self.plan(seed=seed, gateways=4) for seed in range(4)]
        in_use: list[tuple[ConnectionPlan, ConnectionRecord, float]] = []
        draw, found_dead, late_refusals = random.Random(1), 0, 0
        served = [0] * 4
        for step in range(60000):
            now = T0 + step
            for entry in [entry for entry in in_use if entry[2] <= now]:
                in_use.remove(entry)
                self.answer_and_release(entry[0], now, entry[1])
            number = draw.randrange(4)
            link = plans[number].acquire(now, "b0", True)
            for plan in plans:
                plan.closing.clear()
            if not isinstance(link, ConnectionRecord):
                continue
            if link.state is ConnectionState.OPENING:
                connections = sum(plan.open for plan in plans) - 1
                if connections >= 8:
                    late_refusals += step > 30000
                    found_dead += plans[number].on_connect_failed(now, link, ConnectFailure.REFUSED) and step > 30000
                    continue
                plans[number].on_opened(now, link)
            served[number] += 1
            in_use.append((plans[number], link, now + 30.0))
        self.assertEqual(found_dead, 0)
        self.assertLess(late_refusals, 150)  # of about 8,000 uses in the second half
        self.assertGreater(min(served), 1000)

    def test_a_server_that_refuses_without_recent_answers_is_dead_and_its_idle_connections_close(self) -> None:
        plan = self.plan()
        self.make_idle(plan, 3)
        busy = [self.take_busy(plan, T0 + 1600.0) for _ in range(3)]
        link = plan.acquire(T0 + 1600.0, "b0", True)
        assert isinstance(link, ConnectionRecord)
        plan.release(T0 + 1600.0, busy[0], True)
        self.assertTrue(plan.on_connect_failed(T0 + 1600.0, link, ConnectFailure.REFUSED))
        self.assertEqual([cause for _, cause in plan.closing], ["dead"])

    def test_a_server_that_just_answered_is_dead_only_after_repeated_refusals(self) -> None:
        plan = self.plan()
        self.make_idle(plan, 3)
        for _ in range(3):
            self.take_busy(plan, T0 + 10.0 + REUSE_DELAY_MS)
        verdicts = []
        for step in range(3):
            plan.servers["b0"].bound = 64.0
            link = plan.acquire(T0 + 20.0 + REUSE_DELAY_MS + step, "b0", True)
            assert isinstance(link, ConnectionRecord)
            verdicts.append(plan.on_connect_failed(T0 + 20.0 + REUSE_DELAY_MS + step, link, ConnectFailure.REFUSED))
        self.assertEqual(verdicts, [False, False, True])

    def test_a_connection_reset_while_opening_lowers_the_bound_which_grows_by_one_per_second(self) -> None:
        plan = self.plan()
        links = [self.take_busy(plan) for _ in range(10)]
        link = plan.acquire(T0, "b0", True)
        assert isinstance(link, ConnectionRecord)
        self.assertFalse(plan.on_connect_failed(T0, link, ConnectFailure.RESET))
        self.assertEqual(plan.bound(T0, plan.servers["b0"]), 10.0)
        self.assertEqual(plan.bound(T0 + 3000.0, plan.servers["b0"]), 13.0)
        self.assertEqual(len(links), 10)


class ConnectionOpening(PlanCase):
    """When connections are opened."""

    def test_many_requests_to_a_server_that_just_started_open_connections_at_a_limited_rate(self) -> None:
        plan = self.plan(started=T0 - 1.0)
        opened = 0
        for step in range(1000):  # 1,250 requests/s, each of which keeps its connection
            link = plan.acquire(T0 + 0.8 * step, "b0", True)
            if isinstance(link, ConnectionRecord):
                opened += 1
                plan.on_opened(T0 + 0.8 * step, link)
        self.assertGreater(opened, 3)
        self.assertLess(opened, 14)  # 12 per second, and the increase as the server warms up
        warm = T0 + 20000.0
        self.assertIsInstance(plan.acquire(warm, "b0", True), ConnectionRecord)
        self.assertIsInstance(plan.acquire(warm, "b0", True), ConnectionRecord)

    def test_slow_start_applies_where_the_time_to_warm_up_is_not_configured(self) -> None:
        opened = []
        for started in (T0 - 1.0, 0.0):  # just now; long ago
            plan = ConnectionPlan(Links(), 400, 30000.0)
            plan.add_server(T0, "b0", ("127.0.0.1", 9), started)
            opened.append(0)
            for step in range(1000):
                link = plan.acquire(T0 + 0.8 * step, "b0", True)
                if isinstance(link, ConnectionRecord):
                    opened[-1] += 1
                    plan.on_opened(T0 + 0.8 * step, link)
        self.assertLess(opened[0], 14)
        self.assertGreater(opened[1], opened[0])

    def test_a_cold_server_that_is_slow_to_accept_has_at_most_two_connections_opening(self) -> None:
        plan = self.plan(started=T0 - 1.0)
        results = [plan.acquire(T0 + 100.0 * step, "b0", True) for step in range(50)]
        self.assertEqual(sum(isinstance(result, ConnectionRecord) for result in results), 2)

    def test_40_gateways_do_not_all_connect_at_once_to_a_server_that_just_started(self) -> None:
        plans = [self.plan(started=T0 - 1.0, gateways=40, seed=seed) for seed in range(40)]
        opened = 0
        for step in range(100):
            for plan in plans:
                link = plan.acquire(T0 + 10.0 * step, "b0", True)
                if isinstance(link, ConnectionRecord):
                    opened += 1
                    plan.on_opened(T0 + 10.0 * step, link)
        self.assertLess(opened, 30)

    def test_a_server_added_to_a_list_without_start_times_counts_as_just_started(self) -> None:
        plan = self.plan(started=None)
        plan.add_server(T0 + 60000.0, "new", ("127.0.0.1", 9), None)
        self.assertFalse(plan.cold(T0 + 60000.0, plan.servers["b0"]))
        self.assertTrue(plan.cold(T0 + 60000.0, plan.servers["new"]))

    def test_a_dead_server_that_accepts_again_is_cold_before_the_list_reports_a_restart(self) -> None:
        plan = self.plan()
        link = plan.acquire(T0, "b0", True)
        assert isinstance(link, ConnectionRecord)
        self.assertTrue(plan.on_connect_failed(T0, link, ConnectFailure.REFUSED))
        self.take_busy(plan, T0 + 1000.0)
        self.assertTrue(plan.cold(T0 + 1000.0, plan.servers["b0"]))

    def test_a_server_whose_connections_all_end_at_once_is_cold_and_yields_no_idle_limit(self) -> None:
        plan = self.plan()
        links = self.make_idle(plan, 5)
        for number, link in enumerate(links):
            plan.on_idle_closed(T0 + 700.0 + number, link)
        plan.tick(T0 + 700.0 + 2 * DEATH_SPAN_MS)
        self.assertTrue(plan.cold(T0 + 800.0, plan.servers["b0"]))
        self.assertEqual(plan.servers["b0"].survival.idle_limit_ms(T0 + 1000.0, 0.01), NEVER)

    def test_gateways_started_together_open_their_first_connections_in_different_orders(self) -> None:
        first_servers = set()
        for seed in range(8):
            plan = self.plan(servers=20, seed=seed, warm_up_ms=2000.0)
            order = []
            for step in range(25):
                order += [link.server.id for link in plan.tick(T0 + 100.0 * step)]
            self.assertEqual(sorted(order), sorted(plan.servers))
            first_servers.add(order[0])
        self.assertGreater(len(first_servers), 4)

    def test_connections_are_preconnected_where_requests_had_to_wait_and_not_after_one_was_unused(self) -> None:
        plan = self.plan(ahead=1)
        links = [self.take_busy(plan) for _ in range(3)]
        spares = plan.tick(T0 + 100.0)
        self.assertEqual(len(spares), 1)
        plan.on_opened(T0 + 101.0, spares[0])
        plan.release(T0 + 101.0, spares[0], True)
        self.assertEqual(plan.tick(T0 + 200.0), [])  # there is a spare connection already
        plan.on_idle_closed(T0 + 300.0, spares[0])  # it was never used
        links += [self.take_busy(plan, T0 + 310.0) for _ in range(3)]
        self.assertEqual(plan.tick(T0 + 400.0), [])
        links += [self.take_busy(plan, T0 + 3000.0) for _ in range(3)]
        self.assertEqual(len(plan.tick(T0 + 3001.0)), 1)
        self.assertEqual(plan.counts["ahead.wasted"], 1)


class ConnectionReuse(PlanCase):
    """Which idle connection is used, and which are no longer used."""

    def test_reuse_follows_the_configured_order(self) -> None:
        for order, expected in (("last_used", 2), ("oldest", 0), ("least_used", 1)):
            with self.subTest(order=order):
                plan = self.plan(reuse=order)
                links = [self.take_busy(plan, T0 + number) for number in range(3)]
                for number, uses in enumerate((3, 1, 2)):
                    links[number].uses = uses
                    plan.release(T0 + 10.0 + number, links[number], True)
                self.assertIs(plan.acquire(T0 + 20.0 + REUSE_DELAY_MS, "b0", True), links[expected])

    def test_a_connection_is_not_reused_at_once_after_an_answer_and_none_is_opened_or_closed_meanwhile(self) -> None:
        plan = self.plan(per_box=1)
        link = self.take_busy(plan, T0)
        link.uses = 1
        plan.release(T0 + 10.0, link, True)
        wait = plan.acquire(T0 + 12.0, "b0", True)
        self.assertEqual(wait, Wait(REUSE_DELAY_MS - 2.0, "resting"))
        self.assertIs(plan.acquire(T0 + 10.0 + REUSE_DELAY_MS, "b0", True), link)
        self.assertEqual((plan.open, plan.closing), (1, []))
        plan = self.plan()  # if requests come so often that each would wait, another connection is opened
        link = self.take_busy(plan, T0)
        link.uses = 1
        plan.release(T0 + 10.0, link, True)
        results = [plan.acquire(T0 + 12.0, "b0", True) for _ in range(MAX_REUSE_WAITS + 1)]
        self.assertEqual([type(result) for result in results], [Wait] * MAX_REUSE_WAITS + [ConnectionRecord])
        plan.tick(T0 + 2000.0)  # a new window
        plan.release(T0 + 2000.0, results[-1], True)
        results[-1].uses = 1
        self.assertIs(plan.acquire(T0 + 2001.0, "b0", True), link)
        self.assertIsInstance(plan.acquire(T0 + 2001.0, "b0", True), Wait)
        plan = self.plan(wait_ms=REUSE_DELAY_MS / 2.0)  # if requests may not wait so long, another is opened
        link = self.take_busy(plan, T0)
        link.uses = 1
        plan.release(T0 + 10.0, link, True)
        self.assertIsNot(plan.acquire(T0 + 12.0, "b0", True), link)
        self.assertEqual(plan.open, 2)

    def test_a_connection_that_is_still_needed_is_used_before_it_gets_too_old(self) -> None:
        plan = self.plan(stale=Stale(idle_ms=1000.0))
        links = self.make_idle(plan, 3)
        link = self.take_busy(plan, T0 + 400.0)
        self.assertIs(link, links[2])  # the last used, while none has been idle for long
        self.answer_and_release(plan, T0 + 410.0, link)
        link = self.take_busy(plan, T0 + 600.0)
        self.assertIs(link, links[0])  # the oldest, since three were in use recently
        self.answer_and_release(plan, T0 + 610.0, link)
        for step in range(3):  # without use the peak falls to 0: no need to use the oldest first
            plan.tick(T0 + 1000.0 * step)
        self.assertEqual(plan.servers["b0"].previous_peak_in_use, 0)

    def test_after_a_death_no_connection_idle_as_long_is_used_even_before_the_death_is_evaluated(self) -> None:
        plan = self.plan()
        self.make_idle(plan, 4)
        link = self.take_busy(plan, T0 + 900.0)
        plan.on_broken(T0 + 900.0, link)
        plan.release(T0 + 900.0, link, False)
        fresh = plan.acquire(T0 + 901.0, "b0", True)
        assert isinstance(fresh, ConnectionRecord)
        self.assertIs(fresh.state, ConnectionState.OPENING)
        self.assertEqual([cause for _, cause in plan.closing], ["idle"] * 3)

    def test_after_a_timeout_the_20_idle_connections_of_a_server_are_tried_one_at_a_time(self) -> None:
        plan = self.plan()
        self.make_idle(plan, 20)
        link = self.take_busy(plan, T0 + 100.0)
        plan.on_response_timeout(T0 + 600.0, link)
        plan.release(T0 + 600.0, link, False)
        tried = plan.acquire(T0 + 601.0, "b0", True)
        assert isinstance(tried, ConnectionRecord)
        self.assertTrue(tried.suspected)
        others = [plan.acquire(T0 + 602.0, "b0", True) for _ in range(5)]
        self.assertTrue(
            all(isinstance(other, ConnectionRecord) and other.state is ConnectionState.OPENING for other in others)
        )
        plan.on_response_timeout(T0 + 1100.0, tried)
        plan.release(T0 + 1100.0, tried, False)
        self.assertEqual(len(plan.servers["b0"].idle), 0)  # all that had been idle as long are retired

    def test_a_suspected_connection_that_serves_clears_the_others(self) -> None:
        plan = self.plan()
        self.make_idle(plan, 5)
        link = self.take_busy(plan, T0 + 100.0)
        plan.on_response_timeout(T0 + 600.0, link)
        plan.release(T0 + 600.0, link, False)
        self.answer_and_release(plan, T0 + 620.0, self.take_busy(plan, T0 + 601.0))
        self.assertEqual(plan.servers["b0"].suspected_before, 0.0)
        self.assertIs(self.take_busy(plan, T0 + 630.0).uses > 0, True)

    def test_a_request_that_must_not_run_twice_uses_no_suspected_connection(self) -> None:
        plan = self.plan()
        self.make_idle(plan, 5)
        link = self.take_busy(plan, T0 + 100.0)
        plan.on_response_timeout(T0 + 600.0, link)
        plan.release(T0 + 600.0, link, False)
        result = plan.acquire(T0 + 601.0, "b0", False)
        self.assertTrue(isinstance(result, ConnectionRecord) and result.state is ConnectionState.OPENING)

    def test_a_request_that_must_not_run_twice_needs_an_idle_time_that_others_survived(self) -> None:
        plan = self.plan(stale=Stale(proven_ms=500.0))
        self.make_idle(plan, 3)
        unproven = plan.acquire(T0 + 2000.0, "b0", False)
        self.assertTrue(isinstance(unproven, ConnectionRecord) and unproven.state is ConnectionState.OPENING)
        # A repeatable request shows that connections survive this idle time.
        self.answer_and_release(plan, T0 + 2010.0, self.take_busy(plan, T0 + 2000.0))
        plan.servers["b0"].limits_updated_at = 0.0
        plan.idle.clear()
        proven_ms = plan.servers["b0"].survival.longest_survived_ms(T0 + 2010.0)
        self.assertGreater(proven_ms, 1500.0)

    def test_a_connection_that_timed_out_while_the_server_answered_on_others_was_dead(self) -> None:
        plan = self.plan()
        self.make_idle(plan, 2)
        old = self.take_busy(plan, T0 + 900.0)
        other = self.take_busy(plan, T0 + 905.0)
        plan.on_response(T0 + 950.0, other)
        plan.on_response_timeout(T0 + 1400.0, old)
        plan.release(T0 + 1400.0, old, False)
        plan.tick(T0 + 1400.0 + 2 * DEATH_SPAN_MS)
        self.assertLess(plan.servers["b0"].survival.idle_limit_ms(T0 + 1800.0, 0.01), 900.0)

    def test_the_keep_alive_timeout_announced_by_the_server_is_respected(self) -> None:
        plan = self.plan()
        link = self.take_busy(plan)
        plan.on_keep_alive_hint(link, 2.0)
        self.answer_and_release(plan, T0, link)
        plan.tick(T0 + 1500.0)
        self.assertEqual(plan.open, 1)
        plan.tick(T0 + 1700.0)
        self.assertEqual(plan.open, 0)

    def test_connections_are_retired_by_age_and_use_count_and_not_all_at_once(self) -> None:
        plan = self.plan(max_age_s=10.0, max_uses=100)
        links = [self.take_busy(plan) for _ in range(10)]
        self.assertGreater(len({round(link.expires_at) for link in links}), 5)
        self.assertTrue(all(8000.0 <= link.expires_at - T0 <= 12000.0 for link in links))
        self.assertGreater(len({link.max_uses for link in links}), 4)
        links[0].uses = 200
        self.assertFalse(plan.release(T0, links[0], True))
        self.assertFalse(plan.release(T0 + 12001.0, links[1], True))
        self.assertEqual((plan.counts["retired.uses"], plan.counts["retired.age"]), (1, 1))

    def test_connections_of_a_drained_server_close_at_once_or_after_their_answer(self) -> None:
        plan = self.plan()
        links = [self.take_busy(plan) for _ in range(3)]
        self.answer_and_release(plan, T0, links[0])
        plan.remove_server("b0")
        self.assertEqual([cause for _, cause in plan.closing], ["unlisted"])
        self.assertIs(plan.acquire(T0, "b0", True), Unavailable.UNLISTED)
        self.assertFalse(plan.release(T0, links[1], True))
        self.assertFalse(plan.release(T0, links[2], True))
        self.assertEqual((plan.open, plan.draining), (0, {}))

    def test_a_server_at_a_reused_address_inherits_no_connection(self) -> None:
        plan = self.plan()
        self.make_idle(plan, 3)
        plan.remove_server("b0")
        plan.add_server(T0 + 10.0, "other", ("127.0.0.1", 1000), T0)
        link = plan.acquire(T0 + 20.0, "other", True)
        self.assertTrue(isinstance(link, ConnectionRecord) and link.state is ConnectionState.OPENING)

    def test_connections_of_a_server_that_moved_or_restarted_are_closed(self) -> None:
        for address, started in ((("127.0.0.1", 7), 0.0), (("127.0.0.1", 1000), T0 + 5.0)):
            with self.subTest(address=address):
                plan = self.plan()
                self.make_idle(plan, 3)
                plan.add_server(T0 + 10.0, "b0", address, started)
                self.assertEqual((plan.open, len(plan.closing)), (0, 3))


class PlanStateMachine(RuleBasedStateMachine):
    """Any order of events: bounds hold, retired connections are not used, and every connection stays counted."""

    @initialize(
        per_box=st.integers(2, 6),
        capacity=st.integers(4, 12),
        reuse=st.sampled_from(("last_used", "oldest", "least_used")),
        ahead=st.integers(0, 1),
    )
    def start(self, per_box: int, capacity: int, reuse: str, ahead: int) -> None:
        self.links = Links(
            per_box=per_box,
            reuse=reuse,
            ahead=ahead,
            opening_per_box=3,  # type: ignore[arg-type]
            opening=5,
            max_age_s=5.0,
            max_uses=20,
            warm_up_ms=500.0,
        )
        self.capacity, self.now = capacity, T0
        self.plan = ConnectionPlan(self.links, capacity, 3000.0, 2000.0, 2, 7)
        self.opening: list[ConnectionRecord] = []
        self.busy: list[ConnectionRecord] = []
        self.idle: list[ConnectionRecord] = []
        self.ended: set[int] = set()
        self.all: list[ConnectionRecord] = []
        for number in range(3):
            self.plan.add_server(self.now, f"b{number}", number, 0.0)

    def collect_closing(self) -> None:
        for link, _ in self.plan.closing:
            assert link in self.idle, "a connection that was not idle was retired"
            self.idle.remove(link)
            self.ended.add(id(link))
        self.plan.closing.clear()

    def add_opening(self, links: list[ConnectionRecord]) -> None:
        self.opening += links
        self.all += links

    @rule(server=st.integers(0, 3), repeatable=st.booleans())
    def take(self, server: int, repeatable: bool) -> None:
        result = self.plan.acquire(self.now, f"b{server}", repeatable)
        self.collect_closing()
        if isinstance(result, ConnectionRecord):
            assert id(result) not in self.ended, "a retired connection was used"
            if result.state is ConnectionState.OPENING:
                self.add_opening([result])
            else:
                assert result in self.idle
                self.idle.remove(result)
                self.busy.append(result)

    @precondition(lambda self: self.opening)
    @rule(data=st.data(), end=st.sampled_from([None, *ConnectFailure]))
    def finish_opening(self, data: st.DataObject, end: ConnectFailure | None) -> None:
        link = data.draw(st.sampled_from(self.opening))
        self.opening.remove(link)
        if end is None:
            self.plan.on_opened(self.now, link)
            self.busy.append(link)
        else:
            self.plan.on_connect_failed(self.now, link, end)
            self.ended.add(id(link))
        self.collect_closing()

    @precondition(lambda self: self.busy)
    @rule(
        data=st.data(), how=st.sampled_from(("on_response", "on_broken", "on_response_timeout", "found_closed", "left"))
    )
    def release(self, data: st.DataObject, how: str) -> None:
        link = data.draw(st.sampled_from(self.busy))
        self.busy.remove(link)
        if how == "found_closed":
            self.plan.on_closed_before_use(self.now, link)
            self.ended.add(id(link))
            return self.collect_closing()
        if how != "left":
            getattr(self.plan, how)(self.now, link)
        if self.plan.release(self.now, link, how == "on_response"):
            self.idle.append(link)
        else:
            self.ended.add(id(link))
        self.collect_closing()

    @precondition(lambda self: self.idle)
    @rule(data=st.data())
    def close_idle(self, data: st.DataObject) -> None:
        link = data.draw(st.sampled_from(self.idle))
        self.idle.remove(link)
        self.plan.on_idle_closed(self.now, link)
        self.ended.add(id(link))
        self.collect_closing()

    @rule(ms=st.sampled_from((1.0, 50.0, 200.0, 1500.0)))
    def advance_time(self, ms: float) -> None:
        self.now += ms
        self.add_opening(self.plan.tick(self.now))
        self.collect_closing()

    @rule(server=st.integers(0, 3), started=st.sampled_from((0.0, None, 1.0)), address=st.integers(0, 4))
    def list_server(self, server: int, started: float | None, address: int) -> None:
        self.plan.add_server(self.now, f"b{server}", address, self.now if started else started)
        self.collect_closing()

    @rule(server=st.integers(0, 3))
    def unlist_server(self, server: int) -> None:
        self.plan.remove_server(f"b{server}")
        self.collect_closing()

    @rule(per_box=st.integers(2, 6))
    def reload(self, per_box: int) -> None:
        self.links = Links(per_box=per_box, opening_per_box=3, opening=5)
        self.plan.configure(self.links)
        self.collect_closing()

    @invariant()
    def counts_agree(self) -> None:
        if not hasattr(self, "plan"):
            return
        plan = self.plan
        assert plan.open == len(self.opening) + len(self.busy) + len(self.idle)
        assert plan.opening == len(self.opening)
        assert set(plan.idle) == set(self.idle)
        servers = [*plan.servers.values(), *plan.draining.values()]
        assert sum(server.open for server in servers) == plan.open
        assert plan.open <= self.capacity
        assert all(link.server.listed for link in self.idle)
        for server in plan.servers.values():
            opening = [link for link in self.opening if link.server is server]
            assert server.opening == len(opening) <= 3
            assert server.open <= 6


PlanStateMachine.TestCase.settings = hypothesis_settings(
    max_examples=120, stateful_step_count=50, deadline=None, derandomize=True
)
TestPlanStateMachine = PlanStateMachine.TestCase
