"""Connections to boxes: what the core decides, event by event; each test is named after the failure it guards."""

from __future__ import annotations

import random
import unittest

from hypothesis import settings as effort
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from petrelhall.links.limits import CLASSES, FLOOR_MS, NEVER, Survival, age_class, lower_edge
from petrelhall.links.opening import RETRY_MS
from petrelhall.links.plan import ConnectFailure, ConnectionPlan, ConnectionRecord, ConnectionState, Unavailable, Wait
from petrelhall.links.reuse import REST_MS, RESTS
from petrelhall.links.staleness import SETTLE_MS
from petrelhall.operator.settings import Cold, Links, Stale

T0 = 1_000_000.0
HALF_MS = 30000.0


class Learning(unittest.TestCase):
    """The hidden idle limit of a box."""

    def test_classes_cover_every_idle_time_without_a_gap(self) -> None:
        for number in range(CLASSES):
            self.assertEqual(age_class(lower_edge(number)), number)
            if number:
                self.assertEqual(age_class(lower_edge(number) - 1e-3), number - 1)
        self.assertEqual(age_class(1e12), CLASSES - 1)

    def play(
        self, limit_of: object, seconds: float, life: Survival, start: float = T0, mean: float = 300.0, seed: int = 1
    ) -> tuple[int, int]:
        """Use connections at random idle times wherever the estimate allows it; give uses and deaths."""
        draw, now, uses, deaths = random.Random(seed), start, 0, 0
        while now < start + seconds * 1000.0:
            now += 10.0
            idle = draw.expovariate(1.0 / mean)
            if idle >= life.limit(now, 0.01):
                continue
            uses += 1
            if idle > limit_of(now, draw):  # type: ignore[operator]
                deaths += 1
                life.broke(now, idle)
            else:
                life.served(now, idle)
        return uses, deaths

    def test_a_fixed_limit_is_found_with_few_deaths_and_kept_under(self) -> None:
        life = Survival(T0, HALF_MS)
        uses, deaths = self.play(lambda now, draw: 400.0, 120.0, life)
        self.assertLess(deaths, 10)
        self.assertGreater(uses, 6000)
        low, high = life.interval(T0 + 120000.0)
        self.assertLessEqual(low, 400.0)
        self.assertGreaterEqual(high, 400.0)

    def test_a_limit_that_falls_from_2_s_to_400_ms_is_followed(self) -> None:
        life = Survival(T0, HALF_MS)
        self.play(lambda now, draw: 2000.0, 60.0, life)
        self.assertGreater(life.limit(T0 + 60000.0, 0.01), 1000.0)
        _, deaths = self.play(lambda now, draw: 400.0, 60.0, life, T0 + 60000.0, seed=2)
        self.assertLess(deaths, 10)
        self.assertLessEqual(life.limit(T0 + 120000.0, 0.01), 450.0)

    def test_a_limit_that_grows_is_tried_anew_once_its_deaths_have_faded(self) -> None:
        life = Survival(T0, HALF_MS)
        self.play(lambda now, draw: 300.0, 60.0, life)
        self.assertLess(life.limit(T0 + 60000.0, 0.01), 400.0)
        self.play(lambda now, draw: 30000.0, 400.0, life, T0 + 60000.0)
        self.assertGreater(life.limit(T0 + 460000.0, 0.01), 1000.0)

    def test_limits_spread_from_300_to_900_ms_keep_the_share_of_deaths_small(self) -> None:
        life = Survival(T0, HALF_MS)
        uses, deaths = self.play(lambda now, draw: draw.uniform(300.0, 900.0), 300.0, life)
        self.assertLess(deaths / uses, 0.01)

    def test_connections_that_break_for_other_reasons_do_not_end_their_reuse(self) -> None:
        life, draw, now = Survival(T0, HALF_MS), random.Random(3), T0
        for _ in range(5000):  # one in 30 breaks, however short it lay idle, and as many fresh ones
            now += 10.0
            life.fresh_use(now, draw.random() < 1 / 30)
            idle = draw.expovariate(1 / 100.0)
            (life.broke if draw.random() < 1 / 30 else life.served)(now, idle)
        self.assertGreater(life.limit(now, 0.01), 100.0)

    def test_connections_seen_closing_tell_the_limit_from_both_sides(self) -> None:
        life = Survival(T0, HALF_MS)
        for _ in range(5):
            life.closed(T0, 500.0)
        self.assertGreater(life.limit(T0, 0.01), 400.0)
        self.assertLessEqual(life.limit(T0, 0.01), 500.0)

    def test_whatever_was_seen_connections_are_kept_a_little(self) -> None:
        life = Survival(T0, HALF_MS)
        for _ in range(50):
            life.broke(T0, 25.0)
        self.assertGreaterEqual(life.limit(T0, 0.01), FLOOR_MS)

    def test_a_box_new_to_us_begins_with_what_was_learned_of_the_others(self) -> None:
        fleet = Survival(T0, HALF_MS)
        for idle in (100.0, 200.0, 300.0) * 20:
            fleet.served(T0, idle)
        for _ in range(20):
            fleet.closed(T0, 500.0)
        new = Survival(T0 + 1000.0, HALF_MS, fleet)
        self.assertLess(new.limit(T0 + 1000.0, 0.01), 500.0)
        self.assertEqual(Survival(T0, HALF_MS, Survival(T0, HALF_MS)).limit(T0, 0.01), NEVER)

    def test_weights_are_scaled_back_long_before_they_overflow(self) -> None:
        life = Survival(T0, 1000.0)
        for second in range(3000):
            life.served(T0 + 1000.0 * second, 100.0)
        self.assertLess(max(life.alive), 1e15)
        self.assertEqual(life.limit(T0 + 3e6, 0.01), NEVER)


class Case(unittest.TestCase):
    """A plan, with boxes that are long warm unless said."""

    def plan(
        self,
        room: int = 100,
        boxes: int = 1,
        started: float | None = 0.0,
        idle_ms: float = 30000.0,
        gateways: int = 1,
        seed: int = 0,
        now: float = T0,
        **settings: object,
    ) -> ConnectionPlan:
        plan = ConnectionPlan(Links(**settings), room, idle_ms, 10000.0, gateways, seed)  # type: ignore[arg-type]
        for number in range(boxes):
            plan.add_server(now, f"b{number}", ("127.0.0.1", 1000 + number), started)
        return plan

    def up(self, plan: ConnectionPlan, now: float = T0, box: str = "b0", free: bool = True) -> ConnectionRecord:
        """Take a connection, bring it up if it is new, and give it BUSY."""
        link = plan.acquire(now, box, free)
        assert isinstance(link, ConnectionRecord), link
        if link.state is ConnectionState.OPENING:
            plan.on_opened(now, link)
        return link

    def used(self, plan: ConnectionPlan, now: float, link: ConnectionRecord) -> None:
        plan.on_response(now, link)
        plan.release(now, link, True)

    def idle(self, plan: ConnectionPlan, count: int, now: float = T0, box: str = "b0") -> list[ConnectionRecord]:
        links = [self.up(plan, now, box) for _ in range(count)]
        for link in links:
            self.used(plan, now, link)
        return links


class Bounds(Case):
    """How many connections there are."""

    def test_a_thousand_requests_on_a_cold_gateway_open_no_more_than_may_come_up(self) -> None:
        plan = self.plan(room=2000, boxes=4, per_box=500)
        got = [plan.acquire(T0, f"b{number % 4}", True) for number in range(1000)]
        self.assertEqual(sum(isinstance(link, ConnectionRecord) for link in got), 64)
        self.assertTrue(all(isinstance(link, ConnectionRecord | Wait) for link in got))
        self.assertLessEqual(max(box.opening for box in plan.servers.values()), 16)

    def test_one_box_never_has_more_than_its_bound(self) -> None:
        plan = self.plan(per_box=5)
        for _ in range(5):
            self.up(plan)
        self.assertEqual(plan.acquire(T0, "b0", True), Wait(RETRY_MS, "box_bound"))

    def test_200_boxes_share_what_256_descriptors_leave(self) -> None:
        plan = self.plan(room=80, boxes=200)
        for number in range(2000):
            link = self.up(plan, T0 + number, f"b{number % 200}")
            self.used(plan, T0 + number, link)
            self.assertLessEqual(plan.open, 80)
        self.assertGreater(plan.counts["retired.room"], 1000)
        busy = [self.up(plan, T0 + 3000.0, f"b{number}") for number in range(80)]
        self.assertEqual(plan.acquire(T0 + 3000.0, "b90", True), Wait(RETRY_MS, "total"))
        self.assertEqual(len(busy), 80)

    def test_a_bound_halved_by_reload_with_all_in_use_holds_as_they_come_free(self) -> None:
        plan = self.plan(per_box=8)
        links = [self.up(plan) for _ in range(8)]
        plan.configure(Links(per_box=4, cold=Cold(at_once=2)))
        self.assertIsInstance(plan.acquire(T0, "b0", True), Wait)
        kept = [plan.release(T0, link, True) for link in links]
        self.assertEqual(sum(kept), 4)
        self.assertEqual(plan.open, 4)

    def test_a_bound_halved_by_reload_closes_idle_ones_at_once(self) -> None:
        plan = self.plan(per_box=8)
        self.idle(plan, 8)
        plan.configure(Links(per_box=4))
        self.assertEqual((plan.open, len(plan.closing)), (4, 4))

    def test_no_descriptor_left_lowers_the_total_which_grows_again(self) -> None:
        plan = self.plan(room=100, boxes=2)
        for _ in range(10):
            self.up(plan)
        link = plan.acquire(T0, "b1", True)
        assert isinstance(link, ConnectionRecord)
        self.assertFalse(plan.on_connect_failed(T0, link, ConnectFailure.OURS))  # no box's fault
        self.assertIsInstance(plan.acquire(T0, "b1", True), Wait)
        self.assertIsInstance(plan.acquire(T0 + 600.0, "b1", True), ConnectionRecord)
        self.assertIsInstance(plan.acquire(T0 + 600.0, "b1", True), Wait)

    def test_a_cap_of_8_at_the_box_is_shared_by_4_gateways_without_a_word(self) -> None:
        plans = [self.plan(seed=seed, gateways=4) for seed in range(4)]
        held: list[tuple[ConnectionPlan, ConnectionRecord, float]] = []
        draw, dead, late = random.Random(1), 0, 0
        served = [0] * 4
        for step in range(60000):
            now = T0 + step
            for entry in [entry for entry in held if entry[2] <= now]:
                held.remove(entry)
                self.used(entry[0], now, entry[1])
            number = draw.randrange(4)
            link = plans[number].acquire(now, "b0", True)
            for plan in plans:
                plan.closing.clear()
            if not isinstance(link, ConnectionRecord):
                continue
            if link.state is ConnectionState.OPENING:
                there = sum(plan.open for plan in plans) - 1
                if there >= 8:
                    late += step > 30000
                    dead += plans[number].on_connect_failed(now, link, ConnectFailure.REFUSED) and step > 30000
                    continue
                plans[number].on_opened(now, link)
            served[number] += 1
            held.append((plans[number], link, now + 30.0))
        self.assertEqual(dead, 0)
        self.assertLess(late, 150)  # of some 8,000 uses in that half
        self.assertGreater(min(served), 1000)

    def test_a_box_that_refuses_and_has_not_answered_is_dead_and_its_idle_ones_go(self) -> None:
        plan = self.plan()
        self.idle(plan, 3)
        first = [self.up(plan, T0 + 1600.0) for _ in range(3)]
        link = plan.acquire(T0 + 1600.0, "b0", True)
        assert isinstance(link, ConnectionRecord)
        plan.release(T0 + 1600.0, first[0], True)
        self.assertTrue(plan.on_connect_failed(T0 + 1600.0, link, ConnectFailure.REFUSED))
        self.assertEqual([cause for _, cause in plan.closing], ["dead"])

    def test_a_box_that_just_answered_and_refuses_another_connection_is_not_dead_until_it_insists(self) -> None:
        plan = self.plan()
        self.idle(plan, 3)
        for _ in range(3):
            self.up(plan, T0 + 10.0 + REST_MS)
        verdicts = []
        for step in range(3):
            plan.servers["b0"].bound = 64.0
            link = plan.acquire(T0 + 20.0 + REST_MS + step, "b0", True)
            assert isinstance(link, ConnectionRecord)
            verdicts.append(plan.on_connect_failed(T0 + 20.0 + REST_MS + step, link, ConnectFailure.REFUSED))
        self.assertEqual(verdicts, [False, False, True])

    def test_a_connection_reset_on_arrival_lowers_the_bound_which_grows_by_one_a_second(self) -> None:
        plan = self.plan()
        links = [self.up(plan) for _ in range(10)]
        link = plan.acquire(T0, "b0", True)
        assert isinstance(link, ConnectionRecord)
        self.assertFalse(plan.on_connect_failed(T0, link, ConnectFailure.RESET))
        self.assertEqual(plan.bound(T0, plan.servers["b0"]), 10.0)
        self.assertEqual(plan.bound(T0 + 3000.0, plan.servers["b0"]), 13.0)
        self.assertEqual(len(links), 10)


class Opening(Case):
    """When connections are opened."""

    def test_a_crowd_at_a_box_that_just_started_gets_its_first_connections_at_a_pace(self) -> None:
        plan = self.plan(started=T0 - 1.0)
        opened = 0
        for step in range(1000):  # 1,250 requests/s, all kept out for long
            link = plan.acquire(T0 + 0.8 * step, "b0", True)
            if isinstance(link, ConnectionRecord):
                opened += 1
                plan.on_opened(T0 + 0.8 * step, link)
        self.assertGreater(opened, 3)
        self.assertLess(opened, 14)  # 12 a second and what the ramp adds
        warm = T0 + 20000.0
        self.assertIsInstance(plan.acquire(warm, "b0", True), ConnectionRecord)
        self.assertIsInstance(plan.acquire(warm, "b0", True), ConnectionRecord)

    def test_a_box_that_just_started_is_met_at_a_pace_where_nobody_says_how_long_it_is_cold(self) -> None:
        opened = []
        for begins in (T0 - 1.0, 0.0):  # it has just started; it started long ago
            plan = ConnectionPlan(Links(), 400, 30000.0)
            plan.add_server(T0, "b0", ("127.0.0.1", 9), begins)
            opened.append(0)
            for step in range(1000):
                link = plan.acquire(T0 + 0.8 * step, "b0", True)
                if isinstance(link, ConnectionRecord):
                    opened[-1] += 1
                    plan.on_opened(T0 + 0.8 * step, link)
        self.assertLess(opened[0], 14)
        self.assertGreater(opened[1], opened[0])

    def test_a_cold_box_that_is_slow_to_take_connections_has_two_coming_up_at_most(self) -> None:
        plan = self.plan(started=T0 - 1.0)
        got = [plan.acquire(T0 + 100.0 * step, "b0", True) for step in range(50)]
        self.assertEqual(sum(isinstance(link, ConnectionRecord) for link in got), 2)

    def test_40_gateways_do_not_meet_at_a_box_that_just_started(self) -> None:
        plans = [self.plan(started=T0 - 1.0, gateways=40, seed=seed) for seed in range(40)]
        opened = 0
        for step in range(100):
            for plan in plans:
                link = plan.acquire(T0 + 10.0 * step, "b0", True)
                if isinstance(link, ConnectionRecord):
                    opened += 1
                    plan.on_opened(T0 + 10.0 * step, link)
        self.assertLess(opened, 30)

    def test_a_box_new_in_a_list_that_tells_no_start_counts_as_just_started(self) -> None:
        plan = self.plan(started=None)
        plan.add_server(T0 + 60000.0, "new", ("127.0.0.1", 9), None)
        self.assertFalse(plan.cold(T0 + 60000.0, plan.servers["b0"]))
        self.assertTrue(plan.cold(T0 + 60000.0, plan.servers["new"]))

    def test_a_box_back_from_the_dead_is_cold_before_the_list_says_so(self) -> None:
        plan = self.plan()
        link = plan.acquire(T0, "b0", True)
        assert isinstance(link, ConnectionRecord)
        self.assertTrue(plan.on_connect_failed(T0, link, ConnectFailure.REFUSED))
        self.up(plan, T0 + 1000.0)
        self.assertTrue(plan.cold(T0 + 1000.0, plan.servers["b0"]))

    def test_a_box_whose_connections_all_end_at_once_is_cold_and_teaches_no_idle_limit(self) -> None:
        plan = self.plan()
        links = self.idle(plan, 5)
        for number, link in enumerate(links):
            plan.on_idle_closed(T0 + 700.0 + number, link)
        plan.tick(T0 + 700.0 + 2 * SETTLE_MS)
        self.assertTrue(plan.cold(T0 + 800.0, plan.servers["b0"]))
        self.assertEqual(plan.servers["b0"].survival.limit(T0 + 1000.0, 0.01), NEVER)

    def test_gateways_started_together_open_their_first_connections_in_orders_of_their_own(self) -> None:
        first = set()
        for seed in range(8):
            plan = self.plan(boxes=20, seed=seed, warm_up_ms=2000.0)
            order = []
            for step in range(25):
                order += [link.server.id for link in plan.tick(T0 + 100.0 * step)]
            self.assertEqual(sorted(order), sorted(plan.servers))
            first.add(order[0])
        self.assertGreater(len(first), 4)

    def test_spares_are_opened_for_boxes_whose_requests_had_to_wait_and_stop_when_they_serve_nobody(self) -> None:
        plan = self.plan(ahead=1)
        links = [self.up(plan) for _ in range(3)]
        ahead = plan.tick(T0 + 100.0)
        self.assertEqual(len(ahead), 1)
        plan.on_opened(T0 + 101.0, ahead[0])
        plan.release(T0 + 101.0, ahead[0], True)
        self.assertEqual(plan.tick(T0 + 200.0), [])  # there is a spare
        plan.on_idle_closed(T0 + 300.0, ahead[0])  # for nothing
        links += [self.up(plan, T0 + 310.0) for _ in range(3)]
        self.assertEqual(plan.tick(T0 + 400.0), [])
        links += [self.up(plan, T0 + 3000.0) for _ in range(3)]
        self.assertEqual(len(plan.tick(T0 + 3001.0)), 1)
        self.assertEqual(plan.counts["ahead.wasted"], 1)


class Reuse(Case):
    """Which connection is used, and which no more."""

    def test_the_order_of_reuse_is_the_operators(self) -> None:
        for order, wanted in (("last_used", 2), ("oldest", 0), ("least_used", 1)):
            with self.subTest(order=order):
                plan = self.plan(reuse=order)
                links = [self.up(plan, T0 + number) for number in range(3)]
                for number, uses in enumerate((3, 1, 2)):
                    links[number].uses = uses
                    plan.release(T0 + 10.0 + number, links[number], True)
                self.assertIs(plan.acquire(T0 + 20.0 + REST_MS, "b0", True), links[wanted])

    def test_a_connection_rests_after_an_answer_and_none_is_opened_or_closed_for_it(self) -> None:
        plan = self.plan(per_box=1)
        link = self.up(plan, T0)
        link.uses = 1
        plan.release(T0 + 10.0, link, True)
        waits = plan.acquire(T0 + 12.0, "b0", True)
        self.assertEqual(waits, Wait(REST_MS - 2.0, "resting"))
        self.assertIs(plan.acquire(T0 + 10.0 + REST_MS, "b0", True), link)
        self.assertEqual((plan.open, plan.closing), (1, []))
        plan = self.plan()  # where requests come so often that each would wait, another is opened
        link = self.up(plan, T0)
        link.uses = 1
        plan.release(T0 + 10.0, link, True)
        told = [plan.acquire(T0 + 12.0, "b0", True) for _ in range(RESTS + 1)]
        self.assertEqual([type(one) for one in told], [Wait] * RESTS + [ConnectionRecord])
        plan.tick(T0 + 2000.0)  # a new window
        plan.release(T0 + 2000.0, told[-1], True)
        told[-1].uses = 1
        self.assertIs(plan.acquire(T0 + 2001.0, "b0", True), link)
        self.assertIsInstance(plan.acquire(T0 + 2001.0, "b0", True), Wait)
        plan = self.plan(wait_ms=REST_MS / 2.0)  # where requests may not wait so long, another is opened
        link = self.up(plan, T0)
        link.uses = 1
        plan.release(T0 + 10.0, link, True)
        self.assertIsNot(plan.acquire(T0 + 12.0, "b0", True), link)
        self.assertEqual(plan.open, 2)

    def test_a_connection_that_is_still_needed_is_used_before_it_grows_too_old(self) -> None:
        plan = self.plan(stale=Stale(idle_ms=1000.0))
        links = self.idle(plan, 3)
        link = self.up(plan, T0 + 400.0)
        self.assertIs(link, links[2])  # the last used, while all are young
        self.used(plan, T0 + 410.0, link)
        link = self.up(plan, T0 + 600.0)
        self.assertIs(link, links[0])  # three were in use a moment ago
        self.used(plan, T0 + 610.0, link)
        for step in range(3):  # their need is over: the last used again, and the others age
            plan.tick(T0 + 1000.0 * step)
        self.assertEqual(plan.servers["b0"].previous_peak_in_use, 0)

    def test_after_a_death_no_sibling_as_old_is_used_even_before_it_is_understood(self) -> None:
        plan = self.plan()
        self.idle(plan, 4)
        link = self.up(plan, T0 + 900.0)
        plan.on_broken(T0 + 900.0, link)
        plan.release(T0 + 900.0, link, False)
        fresh = plan.acquire(T0 + 901.0, "b0", True)
        assert isinstance(fresh, ConnectionRecord)
        self.assertIs(fresh.state, ConnectionState.OPENING)
        self.assertEqual([cause for _, cause in plan.closing], ["idle"] * 3)

    def test_a_silent_box_with_20_idle_connections_is_tried_one_at_a_time(self) -> None:
        plan = self.plan()
        self.idle(plan, 20)
        link = self.up(plan, T0 + 100.0)
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
        self.assertEqual(len(plan.servers["b0"].idle), 0)  # all those that were as old

    def test_one_in_doubt_that_serves_clears_its_siblings(self) -> None:
        plan = self.plan()
        self.idle(plan, 5)
        link = self.up(plan, T0 + 100.0)
        plan.on_response_timeout(T0 + 600.0, link)
        plan.release(T0 + 600.0, link, False)
        self.used(plan, T0 + 620.0, self.up(plan, T0 + 601.0))
        self.assertEqual(plan.servers["b0"].suspected_before, 0.0)
        self.assertIs(self.up(plan, T0 + 630.0).uses > 0, True)

    def test_a_request_whose_repeat_is_not_free_goes_on_no_connection_in_doubt(self) -> None:
        plan = self.plan()
        self.idle(plan, 5)
        link = self.up(plan, T0 + 100.0)
        plan.on_response_timeout(T0 + 600.0, link)
        plan.release(T0 + 600.0, link, False)
        got = plan.acquire(T0 + 601.0, "b0", False)
        self.assertTrue(isinstance(got, ConnectionRecord) and got.state is ConnectionState.OPENING)

    def test_a_request_whose_repeat_is_not_free_wants_an_idle_time_that_was_survived(self) -> None:
        plan = self.plan(stale=Stale(proven_ms=500.0))
        self.idle(plan, 3)
        unproven = plan.acquire(T0 + 2000.0, "b0", False)
        self.assertTrue(isinstance(unproven, ConnectionRecord) and unproven.state is ConnectionState.OPENING)
        self.used(plan, T0 + 2010.0, self.up(plan, T0 + 2000.0))  # a safe one proves it
        plan.servers["b0"].limits_updated_at = 0.0
        plan.idle.clear()
        proven = plan.servers["b0"].survival.survived(T0 + 2010.0)
        self.assertGreater(proven, 1500.0)

    def test_a_connection_that_timed_out_while_its_box_answered_others_was_dead(self) -> None:
        plan = self.plan()
        self.idle(plan, 2)
        old = self.up(plan, T0 + 900.0)
        other = self.up(plan, T0 + 905.0)
        plan.on_response(T0 + 950.0, other)
        plan.on_response_timeout(T0 + 1400.0, old)
        plan.release(T0 + 1400.0, old, False)
        plan.tick(T0 + 1400.0 + 2 * SETTLE_MS)
        self.assertLess(plan.servers["b0"].survival.limit(T0 + 1800.0, 0.01), 900.0)

    def test_the_box_s_word_on_its_patience_is_taken(self) -> None:
        plan = self.plan()
        link = self.up(plan)
        plan.on_keep_alive_hint(link, 2.0)
        self.used(plan, T0, link)
        plan.tick(T0 + 1500.0)
        self.assertEqual(plan.open, 1)
        plan.tick(T0 + 1700.0)
        self.assertEqual(plan.open, 0)

    def test_connections_are_retired_by_age_and_use_and_not_all_at_once(self) -> None:
        plan = self.plan(max_age_s=10.0, max_uses=100)
        links = [self.up(plan) for _ in range(10)]
        self.assertGreater(len({round(link.expires_at) for link in links}), 5)
        self.assertTrue(all(8000.0 <= link.expires_at - T0 <= 12000.0 for link in links))
        self.assertGreater(len({link.max_uses for link in links}), 4)
        links[0].uses = 200
        self.assertFalse(plan.release(T0, links[0], True))
        self.assertFalse(plan.release(T0 + 12001.0, links[1], True))
        self.assertEqual((plan.counts["retired.uses"], plan.counts["retired.age"]), (1, 1))

    def test_what_a_drained_box_has_open_ends_now_or_after_its_answer(self) -> None:
        plan = self.plan()
        links = [self.up(plan) for _ in range(3)]
        self.used(plan, T0, links[0])
        plan.remove_server("b0")
        self.assertEqual([cause for _, cause in plan.closing], ["unlisted"])
        self.assertIs(plan.acquire(T0, "b0", True), Unavailable.UNLISTED)
        self.assertFalse(plan.release(T0, links[1], True))
        self.assertFalse(plan.release(T0, links[2], True))
        self.assertEqual((plan.open, plan.draining), (0, {}))

    def test_a_box_at_an_old_address_inherits_no_connection(self) -> None:
        plan = self.plan()
        self.idle(plan, 3)
        plan.remove_server("b0")
        plan.add_server(T0 + 10.0, "other", ("127.0.0.1", 1000), T0)
        link = plan.acquire(T0 + 20.0, "other", True)
        self.assertTrue(isinstance(link, ConnectionRecord) and link.state is ConnectionState.OPENING)

    def test_a_box_that_moved_or_started_anew_leaves_its_old_connections(self) -> None:
        for address, started in ((("127.0.0.1", 7), 0.0), (("127.0.0.1", 1000), T0 + 5.0)):
            with self.subTest(address=address):
                plan = self.plan()
                self.idle(plan, 3)
                plan.add_server(T0 + 10.0, "b0", address, started)
                self.assertEqual((plan.open, len(plan.closing)), (0, 3))


class Machine(RuleBasedStateMachine):
    """Any order of events: never above bounds, nothing retired is used, no connection is lost from the books."""

    @initialize(
        per_box=st.integers(2, 6),
        room=st.integers(4, 12),
        reuse=st.sampled_from(("last_used", "oldest", "least_used")),
        ahead=st.integers(0, 1),
    )
    def begin(self, per_box: int, room: int, reuse: str, ahead: int) -> None:
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
        self.room, self.now = room, T0
        self.plan = ConnectionPlan(self.links, room, 3000.0, 2000.0, 2, 7)
        self.opening: list[ConnectionRecord] = []
        self.busy: list[ConnectionRecord] = []
        self.idle: list[ConnectionRecord] = []
        self.over: set[int] = set()
        self.all: list[ConnectionRecord] = []
        for number in range(3):
            self.plan.add_server(self.now, f"b{number}", number, 0.0)

    def collect(self) -> None:
        for link, _ in self.plan.closing:
            assert link in self.idle, "what was not idle was retired"
            self.idle.remove(link)
            self.over.add(id(link))
        self.plan.closing.clear()

    def ahead(self, links: list[ConnectionRecord]) -> None:
        self.opening += links
        self.all += links

    @rule(box=st.integers(0, 3), free=st.booleans())
    def take(self, box: int, free: bool) -> None:
        got = self.plan.acquire(self.now, f"b{box}", free)
        self.collect()
        if isinstance(got, ConnectionRecord):
            assert id(got) not in self.over, "a retired connection was used"
            if got.state is ConnectionState.OPENING:
                self.ahead([got])
            else:
                assert got in self.idle
                self.idle.remove(got)
                self.busy.append(got)

    @precondition(lambda self: self.opening)
    @rule(data=st.data(), end=st.sampled_from([None, *ConnectFailure]))
    def come_up(self, data: st.DataObject, end: ConnectFailure | None) -> None:
        link = data.draw(st.sampled_from(self.opening))
        self.opening.remove(link)
        if end is None:
            self.plan.on_opened(self.now, link)
            self.busy.append(link)
        else:
            self.plan.on_connect_failed(self.now, link, end)
            self.over.add(id(link))
        self.collect()

    @precondition(lambda self: self.busy)
    @rule(
        data=st.data(), how=st.sampled_from(("on_response", "on_broken", "on_response_timeout", "found_closed", "left"))
    )
    def come_free(self, data: st.DataObject, how: str) -> None:
        link = data.draw(st.sampled_from(self.busy))
        self.busy.remove(link)
        if how == "found_closed":
            self.plan.on_closed_before_use(self.now, link)
            self.over.add(id(link))
            return self.collect()
        if how != "left":
            getattr(self.plan, how)(self.now, link)
        if self.plan.release(self.now, link, how == "on_response"):
            self.idle.append(link)
        else:
            self.over.add(id(link))
        self.collect()

    @precondition(lambda self: self.idle)
    @rule(data=st.data())
    def end_idle(self, data: st.DataObject) -> None:
        link = data.draw(st.sampled_from(self.idle))
        self.idle.remove(link)
        self.plan.on_idle_closed(self.now, link)
        self.over.add(id(link))
        self.collect()

    @rule(ms=st.sampled_from((1.0, 50.0, 200.0, 1500.0)))
    def wait(self, ms: float) -> None:
        self.now += ms
        self.ahead(self.plan.tick(self.now))
        self.collect()

    @rule(box=st.integers(0, 3), started=st.sampled_from((0.0, None, 1.0)), address=st.integers(0, 4))
    def list_box(self, box: int, started: float | None, address: int) -> None:
        self.plan.add_server(self.now, f"b{box}", address, self.now if started else started)
        self.collect()

    @rule(box=st.integers(0, 3))
    def unlist_box(self, box: int) -> None:
        self.plan.remove_server(f"b{box}")
        self.collect()

    @rule(per_box=st.integers(2, 6))
    def reload(self, per_box: int) -> None:
        self.links = Links(per_box=per_box, opening_per_box=3, opening=5)
        self.plan.configure(self.links)
        self.collect()

    @invariant()
    def books_agree(self) -> None:
        if not hasattr(self, "plan"):
            return
        plan = self.plan
        assert plan.open == len(self.opening) + len(self.busy) + len(self.idle)
        assert plan.opening == len(self.opening)
        assert set(plan.idle) == set(self.idle)
        boxes = [*plan.servers.values(), *plan.draining.values()]
        assert sum(box.open for box in boxes) == plan.open
        assert plan.open <= self.room
        assert all(link.server.listed for link in self.idle)
        for box in plan.servers.values():
            fresh = [link for link in self.opening if link.server is box]
            assert box.opening == len(fresh) <= 3
            assert box.open <= 6


Machine.TestCase.settings = effort(max_examples=120, stateful_step_count=50, deadline=None, derandomize=True)
TestMachine = Machine.TestCase
