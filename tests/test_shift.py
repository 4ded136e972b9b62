"""Moving traffic between two pools: the judge, the move and their wiring; each test is named after what it guards."""

from __future__ import annotations

import json
import math
import os
import random
import signal
import tempfile
import unittest
from typing import Any

from click.testing import CliRunner

from petrelhall.boxes.fleet import ServerRegistry
from petrelhall.cli.main import main
from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.decide.policy import Gateway
from petrelhall.decide.settings import read_settings
from petrelhall.gateway.requests import Request
from petrelhall.gateway.shifting import TrafficShifter
from petrelhall.links.attempt import AttemptProgress, AttemptResult
from petrelhall.links.plan import ConnectionPlan
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, now_ms
from petrelhall.operator.file import OperatorError, parse
from petrelhall.operator.settings import LeaveOut, Links, Move, Pool, Shift, Step, Window
from petrelhall.shift.judge import Answer, Bettors, Judge, Judgement, rank, share_of_wealth
from petrelhall.shift.move import Mover, State
from petrelhall.shift.plan import PoolError, Pools, place, side
from tests.peers import TEST_SETTINGS, GatewayTestCase, build_request, build_response, read_message, server_entry

MOVE = Move("m", "old", "new", (Step(0.1, 5.0, 20), Step(0.5, 5.0, 20), Step(1.0, 5.0, 20)))
T0 = 1e6


class Play:
    """A world of one gateway: answers of two pools, by a rule for latencies, until a state or a time is reached."""

    def __init__(self, seed: int, move: Move = MOVE, rate: float = 100.0) -> None:
        self.draw, self.mover, self.rate, self.now = random.Random(seed), Mover(move, 2), rate, T0
        self.started, self.looked, self.turns = T0, T0, list[Any]()
        self.ready = True

    @property
    def seconds(self) -> float:
        return (self.now - self.started) / 1000.0

    def until(self, seconds: float, latency: Any, *states: State, error: Any = None) -> State:
        """Play on; ``latency(seconds, target, kind)`` and ``error`` of the same are the world."""
        end = self.started + seconds * 1000.0
        while self.now < end and self.mover.state not in states:
            self.now += self.draw.expovariate(self.rate) * 1000.0
            while self.looked <= self.now:
                self.turns += self.mover.look(self.looked, self.looked / 1000.0, self.ready)
                self.looked += 250.0
            target = self.draw.random() < self.mover.wanted
            kind = ("easy" if self.draw.random() < 0.8 else "hard", "plan", 0)
            took = latency(self.seconds, target, kind[0]) * math.exp(0.4 * self.draw.gauss(0, 1))
            wrong = error is not None and self.draw.random() < error(self.seconds, target, kind[0])
            district = str(min(20, int(self.draw.expovariate(0.1))))
            self.mover.answer(self.now, Answer(kind, took, wrong, False, district), target)
        return self.mover.state


def equal(seconds: float, target: bool, kind: str) -> float:
    return 10.0 if kind == "easy" else 30.0


class Judging(unittest.TestCase):
    """Worse, no worse, not yet."""

    def test_the_parts_of_the_wealth_never_sum_to_more_than_one(self) -> None:
        total = sum(share_of_wealth(epoch) for epoch in range(100000))
        self.assertLess(total, 1.0)
        self.assertGreater(total, 0.99)

    def test_a_bettor_against_a_fair_coin_rarely_gets_rich(self) -> None:
        rich = 0
        for seed in range(400):
            draw, bettors = random.Random(seed), Bettors()
            for step in range(600):
                if step % 20 == 0:
                    bettors.begin()
                bettors.see(draw.random() - 0.5)
                if bettors.log > math.log(20.0):
                    rich += 1
                    break
        self.assertLess(rich, 20)  # 5 in 100 at most, by Ville's inequality

    def judged(self, seed: int, slower: float, error: float = 0.0, count: int = 6000) -> Judgement:
        draw, judge = random.Random(seed), Judge()
        for number in range(count):
            target = draw.random() < 0.3
            took = math.exp(0.4 * draw.gauss(0, 1)) * (slower if target else 1.0)
            answer = Answer("k", took, target and draw.random() < error)
            (judge.target if target else judge.source)(T0 + 10.0 * number, answer)
            if judge.judgement()[0] is Judgement.WORSE:
                return Judgement.WORSE
        return judge.judgement()[0]

    def test_equal_pools_are_no_worse_slower_and_failing_ones_are(self) -> None:
        for seed in range(10):
            self.assertIs(self.judged(seed, 1.0), Judgement.NO_WORSE)
            self.assertIs(self.judged(seed, 1.3), Judgement.WORSE)
            self.assertIs(self.judged(seed, 1.0, 0.1), Judgement.WORSE)

    def test_a_pool_that_is_fast_because_it_errs_is_worse(self) -> None:
        judge = Judge()
        draw = random.Random(1)
        for number in range(600):
            judge.source(T0 + 10.0 * number, Answer("k", 10.0 * draw.uniform(0.5, 1.5)))
            judge.target(T0 + 10.0 * number, Answer("k", 1.0, draw.random() < 0.3))
        self.assertIs(judge.judgement()[0], Judgement.WORSE)
        self.assertTrue(judge.judgement()[1].startswith("more errors"), judge.judgement())

    def test_no_answer_of_the_source_is_used_twice(self) -> None:
        judge = Judge()
        judge.source(T0, Answer("k", 10.0))
        for number in range(3):
            judge.target(T0 + number, Answer("k", 10.0))
        self.assertEqual((judge.matched, judge.unmatched), (1, 2))

    def test_a_time_out_is_at_least_so_slow_and_no_more(self) -> None:
        late = Answer("k", 500.0, censored=True)
        self.assertEqual(rank(late, 100.0, False, False), 1.0)
        self.assertEqual(rank(late, 900.0, False, False), 0.5)  # it may have been quicker than that
        self.assertEqual(rank(late, 900.0, False, True), 0.5)
        self.assertEqual(rank(Answer("k", 100.0), 500.0, False, True), 0.0)
        self.assertEqual(rank(Answer("k", 1.0, True), 100.0, False, False), 1.0)
        self.assertEqual(rank(Answer("k", 1.0, True), 100.0, True, False), 0.5)

    def test_easy_requests_are_no_evidence_for_a_pool_that_is_slow_at_them(self) -> None:
        worse = unmatched_only = 0
        for seed in range(20):
            draw, judge = random.Random(seed), Judge()
            for number in range(5000):
                now = T0 + 10.0 * number
                noise = math.exp(0.4 * draw.gauss(0, 1))
                if draw.random() < 0.3:  # the target gets easy ones only, 30% slower, still quicker than the mean
                    judge.target(now, Answer("easy", 13.0 * noise))
                else:
                    easy = draw.random() < 0.5
                    judge.source(now, Answer("easy" if easy else "hard", (10.0 if easy else 30.0) * noise))
            worse += judge.judgement()[0] is Judgement.WORSE
            judge = Judge()
            for number in range(100):  # nothing alike: nothing to say
                judge.source(T0 + number, Answer("hard", 30.0))
                judge.target(T0 + number, Answer("easy", 10.0))
            unmatched_only += judge.judgement()[0] is Judgement.NOT_YET
        self.assertEqual((worse, unmatched_only), (20, 20))

    def test_answers_of_the_source_that_are_old_say_nothing_of_now(self) -> None:
        judge = Judge()
        judge.source(T0, Answer("k", 10.0))
        judge.target(T0 + 5000.0, Answer("k", 10.0))
        self.assertEqual((judge.matched, judge.unmatched), (0, 1))

    def test_evidence_of_peers_multiplies(self) -> None:
        judge = Judge()
        self.assertIs(judge.judgement()[0], Judgement.NOT_YET)
        judge.peer("n1", 4.0, 0.0)
        self.assertIs(judge.judgement()[0], Judgement.NOT_YET)
        judge.peer("n2", 4.0, 0.0)
        self.assertIs(judge.judgement()[0], Judgement.WORSE)
        judge = Judge()
        for junk in (math.nan, math.inf):
            judge.peer("n2", junk, junk)  # is passed over
        self.assertIs(judge.judgement()[0], Judgement.NOT_YET)


class Moving(unittest.TestCase):
    """The state machine."""

    def test_equal_pools_end_with_all_of_the_traffic_moved(self) -> None:
        for seed in range(5):
            self.assertIs(Play(seed).until(200.0, equal, State.DONE, State.HALTED), State.DONE)

    def test_equal_pools_are_rarely_halted(self) -> None:
        halted = sum(Play(seed).until(60.0, equal, State.DONE, State.HALTED) is State.HALTED for seed in range(40))
        self.assertLessEqual(halted, 2)

    def test_a_target_that_slows_down_under_way_is_halted_and_undone_within_30_s(self) -> None:
        for seed in range(8):
            play = Play(seed)
            play.until(25.0, equal)
            self.assertIn(play.mover.state, (State.STEPPING, State.HOLDING))
            state = play.until(
                55.0, lambda at, target, kind: equal(at, target, kind) * (1.5 if target else 1.0), State.UNDONE
            )
            self.assertIs(state, State.UNDONE)
            self.assertEqual(play.mover.wanted, 0.0)
            self.assertIn("slower", play.mover.reason)

    def test_a_target_bad_for_one_class_alone_is_halted(self) -> None:
        play = Play(3, rate=200.0)
        state = play.until(
            120.0,
            lambda at, target, kind: equal(at, target, kind)
            * (2.5 if target and kind == "hard" else 0.9 if target else 1.0),
            State.HALTED,
        )
        self.assertIs(state, State.HALTED)
        self.assertIn("class hard", play.mover.reason)

    def test_a_target_bad_for_one_district_alone_is_halted(self) -> None:
        judge, draw = Judge(), random.Random(1)
        for number in range(12000):
            district = "big" if draw.random() < 0.1 else "other"
            target = draw.random() < 0.5
            took = math.exp(0.4 * draw.gauss(0, 1)) * (2.5 if target and district == "big" else 0.95 if target else 1)
            answer = Answer("k", took, district=district)
            (judge.target if target else judge.source)(T0 + 5.0 * number, answer)
            if judge.judgement()[0] is Judgement.WORSE:
                break
        self.assertIn("district big", judge.judgement()[1])

    def test_a_district_that_is_most_of_the_traffic_does_not_halt_a_good_target(self) -> None:
        halted = 0
        for seed in range(10):
            judge, draw = Judge(), random.Random(seed)
            for number in range(3000):
                big = draw.random() < 0.6
                took = math.exp(0.4 * draw.gauss(0, 1)) * (3.0 if big else 1.0)
                answer = Answer("k", took, district="big" if big else str(draw.randrange(30)))
                (judge.target if draw.random() < 0.3 else judge.source)(T0 + 5.0 * number, answer)
            halted += judge.judgement()[0] is Judgement.WORSE
        self.assertEqual(halted, 0)

    def test_both_pools_slower_for_one_cause_hold_the_move_and_blame_nobody(self) -> None:
        play = Play(2)
        play.until(14.0, equal)
        step = play.mover.step
        play.until(40.0, lambda at, target, kind: 3.0 * equal(at, target, kind), State.HALTED)
        self.assertIs(play.mover.state, State.HOLDING)
        self.assertIn("source itself", play.mover.reason)
        self.assertLessEqual(play.mover.step, step + 1)
        self.assertIs(play.until(200.0, equal, State.DONE, State.HALTED), State.DONE)

    def test_a_target_that_answers_nothing_is_halted_without_a_comparison(self) -> None:
        play = Play(4, Move("m", "old", "new", (Step(0.5),)))
        for number in range(40):
            play.mover.look(T0 + 100.0 * number, 0.0)
            play.mover.answer(T0 + 100.0 * number, Answer("k", 500.0, censored=True), True)
        self.assertIn(play.mover.state, (State.HALTED, State.UNDOING, State.UNDONE))
        self.assertIn("two thirds", play.mover.reason)

    def test_traffic_too_thin_to_judge_holds_and_says_so(self) -> None:
        play = Play(5, rate=0.2)
        play.until(400.0, equal, State.DONE, State.HALTED)
        self.assertEqual((play.mover.state, play.mover.step), (State.HOLDING, 0))
        self.assertIn("too thin", play.mover.reason)

    def test_a_gateway_that_starts_in_the_middle_earns_each_step_anew(self) -> None:
        play = Play(6)
        play.until(60.0, equal)
        fresh = Mover(play.mover.move)
        self.assertEqual(fresh.wanted, 0.0)
        fresh.look(play.now, play.now / 1000.0)
        self.assertEqual(fresh.wanted, 0.1)

    def test_nobody_is_more_than_a_step_ahead_of_a_peer_and_a_halt_of_one_is_a_halt_of_all(self) -> None:
        play = Play(7)

        def behind(at: float, target: bool, kind: str) -> float:
            play.mover.heard("n1", State.STEPPING, 0, 0.0, 0.0)
            return equal(at, target, kind)

        play.until(100.0, behind, State.DONE)
        self.assertEqual(play.mover.step, 1)
        play.mover.heard("n1", State.HALTED, 0, 9.0, 0.0)
        play.until(110.0, equal, State.UNDONE)
        self.assertIs(play.mover.state, State.UNDONE)
        self.assertIn("another gateway", play.mover.reason)

    def test_a_gateway_that_starts_after_a_halt_of_others_does_not_begin(self) -> None:
        mover = Mover(MOVE)
        mover.look(T0, 0.0, False)
        mover.heard("n1", State.UNDONE, 2, 9.0, 0.0)
        mover.look(T0 + 100.0, 0.1)
        self.assertEqual((mover.state, mover.wanted), (State.UNDONE, 0.0))

    def test_a_step_of_the_clock_neither_hurries_the_move_nor_undoes_it(self) -> None:
        mover = Mover(MOVE)
        mover.look(T0, 0.0)
        mover.look(T0 + 3600e3, 0.0)
        self.assertLessEqual(mover.clock, 1000.0)
        mover.look(T0 - 3600e3, 0.0)
        self.assertEqual((mover.state, mover.clock), (State.STEPPING, 1000.0))

    def test_the_operators_word_is_taken(self) -> None:
        import msgspec

        def with_order(order: str) -> Move:
            return msgspec.structs.replace(MOVE, order=order)

        mover = Mover(with_order("pause"))
        mover.look(T0, 0.0)
        self.assertEqual((mover.state, mover.wanted), (State.IDLE, 0.0))
        mover.told(with_order("run"))
        mover.look(T0 + 100.0, 0.0)
        self.assertEqual(mover.wanted, 0.1)
        mover.told(with_order("pause"))
        mover.look(T0 + 200.0, 0.0)
        self.assertEqual((mover.state, mover.wanted), (State.HOLDING, 0.1))
        mover.told(with_order("undo"))
        for step in range(20):
            mover.look(T0 + 300.0 + 100.0 * step, 0.0)
        self.assertEqual((mover.state, mover.wanted), (State.UNDONE, 0.0))
        mover.told(with_order("finish"))
        for step in range(3):
            mover.look(T0 + 3000.0 + step, 0.0)
        self.assertEqual((mover.state, mover.wanted), (State.DONE, 1.0))

    def test_new_steps_in_mid_move_keep_what_was_earned_and_no_more(self) -> None:
        mover = Mover(MOVE)
        mover.look(T0, 0.0)
        mover.step, mover.share = 1, 0.5
        mover.told(Move("m", "old", "new", (Step(0.2), Step(0.4), Step(0.8))))
        self.assertEqual(mover.step, 1)
        mover.look(T0 + 10.0, 0.0)
        self.assertEqual(mover.wanted, 0.5)

    def test_no_move_begins_in_a_closed_time_or_without_a_pool(self) -> None:
        move = Move("m", "old", "new", MOVE.steps, closed=(Window(100.0, 200.0),))
        mover = Mover(move)
        for unix_s, ready, wanted in ((150.0, True, 0.0), (250.0, False, 0.0), (250.0, True, 0.1)):
            mover.look(T0, unix_s, ready)
            self.assertEqual(mover.wanted, wanted)

    def test_a_pool_that_vanishes_from_the_list_holds_the_move(self) -> None:
        play = Play(1)
        play.until(3.0, equal)
        play.ready = False
        play.until(60.0, equal, State.DONE)
        self.assertEqual((play.mover.state, play.mover.step), (State.HOLDING, 0))


class Placing(unittest.TestCase):
    """Which request goes where."""

    def test_raising_the_share_moves_nobody_back_and_all_gateways_agree(self) -> None:
        before: set[str] = set()
        for share in (0.1, 0.25, 0.5, 0.9, 1.0):
            now = {str(n) for n in range(2000) if side(MOVE, share, "d", str(n), "c", "p").target}
            self.assertLessEqual(before, now)
            self.assertAlmostEqual(len(now) / 2000.0, share, delta=0.04)
            before = now
        self.assertNotEqual(*([place(move, str(n)) < 0.5 for n in range(50)] for move in ("a", "b")))

    def test_by_district_all_requests_of_one_go_to_one_side(self) -> None:
        move = Move("m", "old", "new", MOVE.steps, by="district")
        for district in range(50):
            sides = {side(move, 0.5, str(district), str(n), "c", "p").target for n in range(20)}
            self.assertEqual(len(sides), 1)

    def test_who_is_left_out_stays_with_the_source(self) -> None:
        move = Move("m", "old", "new", MOVE.steps, leave_out=LeaveOut(("c",), ("p",), ("d",)))
        for district, kind, plan in (("d", "x", "x"), ("x", "c", "x"), ("x", "x", "p")):
            self.assertEqual(side(move, 0.99, district, "1", kind, plan).pools, ("old",))

    def test_what_spills_is_set(self) -> None:
        pools = [
            side(Move("m", "old", "new", MOVE.steps, spill=spill), 1.0, "d", "1", "c", "p").pools
            for spill in ("source", "refuse")
        ]
        self.assertEqual(pools, [("new", "old"), ("new",)])

    def test_a_box_in_two_pools_or_in_none_is_an_error_or_the_default(self) -> None:
        pools = (Pool("a", kind="m1"), Pool("b", zone="z", id="s-.*"))
        named = Pools(Shift(pools))
        self.assertEqual(named.of({"id": "s-1", "kind": "m1", "zone": "y"}), "a")
        self.assertEqual(named.of({"id": "s-1", "kind": "m2", "zone": "z"}), "b")
        both = {"id": "s-1", "kind": "m1", "zone": "z"}
        for box, words in ((both, "a and b"), ({"id": "x", "kind": "m2"}, "no pool")):
            with self.assertRaisesRegex(PoolError, words):
                named.of(box)
        self.assertEqual(Pools(Shift(pools, default="a")).of({"id": "x", "kind": "m2"}), "a")

    def test_the_module_picks_among_the_pools_in_order(self) -> None:
        module = Gateway(read_settings(TEST_SETTINGS), 1)
        module.handle(0.0, api.Started())
        module.handle(0.0, api.ServerList("full", (api.Server("o", pool="old"), api.Server("n", pool="new"))))

        def sent(number: int, *pools: str) -> list[Any]:
            actions = module.handle(100.0 + number, api.Arrival(number, 0, 0, "c", 5000.0, pools=pools))
            return [action.server for action in actions if isinstance(action, api.Send)] or [
                type(action).__name__ for action in actions if isinstance(action, api.Refuse)
            ]

        self.assertEqual(
            [sent(1, "new"), sent(2, "old"), sent(3, "gone", "new"), sent(4, "gone")], [["n"], ["o"], ["n"], ["Refuse"]]
        )

    def module(self, group: str, since_ms: float = 0.0) -> Gateway:
        keyed = TEST_SETTINGS["Grades"][1] | {"Group": group}
        profile = TEST_SETTINGS | {
            "Grades": [TEST_SETTINGS["Grades"][0], keyed],
            "Rules": {"ColdFrom": 0.25, "ColdMs": 10000.0},
        }
        module = Gateway(read_settings(profile), 1)
        module.handle(T0, api.Started())
        module.handle(
            T0,
            api.ServerList(
                "full", (api.Server("o", cell=1, pool="old", since_ms=since_ms), api.Server("n", cell=2, pool="new"))
            ),
        )
        return module

    def test_a_keyed_request_that_may_have_run_on_the_target_goes_on_as_its_group_allows(self) -> None:
        for group, wanted in (("all", ["Send"]), ("cell", ["Fail"])):
            with self.subTest(group=group):
                module = self.module(group)
                arrival = api.Arrival(1, 1, 0, "c", 5000.0, pools=("new", "old"))
                sent = [action for action in module.handle(T0 + 1.0, arrival) if isinstance(action, api.Send)]
                self.assertEqual([action.server for action in sent], ["n"])
                broken = api.Outcome(1, 0, "n", Ending.RESET, 50.0)
                then = [type(action).__name__ for action in module.handle(T0 + 51.0, broken)]
                self.assertEqual([name for name in then if name in ("Send", "Fail", "Refuse")], wanted)

    def test_an_undo_into_a_pool_that_went_cold_is_paced_and_the_rest_refused_at_once(self) -> None:
        module = self.module("all", T0 - 1.0)
        names = []
        for number in range(50):
            arrival = api.Arrival(number, 0, 0, "c", 5000.0, pools=("old",))
            names += [
                type(action).__name__
                for action in module.handle(T0 + 10.0 + number, arrival)
                if isinstance(action, api.Send | api.Refuse)
            ]
        self.assertEqual(len(names), 50)
        self.assertLess(names.count("Send"), 5)

    def test_a_list_that_is_labelled_anew_keeps_its_boxes(self) -> None:
        registry = ServerRegistry(("a",))
        registry.apply(
            {
                "version": 3,
                "full": True,
                "servers": [server_entry("s0", "127.0.0.1:1"), server_entry("s1", "127.0.0.1:2")],
            }
        )
        registry.pool_of = lambda box: "p" if box["id"] == "s0" else None
        news = registry.reassign_pools()
        told = [(server.pool, server.phase) for server in news.servers]
        self.assertEqual(told, [("p", "healthy"), ("", "cordoned")])
        self.assertEqual((registry.healthy, registry.version), ({"s0"}, 3))


class Wiring(unittest.TestCase):
    """What is evidence, and what gateways say of a move to each other."""

    def setUp(self) -> None:
        self.told: list[Any] = []
        self.notes: list[str] = []
        self.sent: list[bytes] = []
        self.loop, self.counts, self.registry = Loop(self.notes.append), Counts(), ServerRegistry(("a",))
        self.registry.apply(
            {
                "version": 1,
                "full": True,
                "servers": [
                    server_entry("old-1", "127.0.0.1:1"),
                    server_entry("new-1", "127.0.0.1:2"),
                    server_entry("odd", "127.0.0.1:3"),
                ],
            }
        )
        self.plan = ConnectionPlan(Links(), 10, 30000.0, 10000.0)
        self.shifter = self.shifter_of_a_gateway()

    def shifter_of_a_gateway(self) -> TrafficShifter:
        shifter = TrafficShifter(
            self.loop,
            self.registry,
            self.plan,
            self.told.append,
            self.counts,
            self.notes.append,
            ("view", "change"),
            ("plan",),
        )
        shifter.to_peers = self.sent.append
        shifter.configure(Shift((Pool("old", id="old-.*"), Pool("new", id="new-.*")), move=MOVE))
        return shifter

    def end(self, server: str, pools: tuple[str, ...], ending: Ending = Ending.OK, kind: int = 0) -> None:
        request = Request(kind, 0, "d", 100.0, 1.0, 1, False, None, b"r")
        self.shifter.ended(request, pools, server, AttemptResult(ending, AttemptProgress.ANSWERED), 10.0)

    @property
    def evidence(self) -> int:
        mover = self.shifter.mover
        assert mover is not None
        return mover.sources + mover.judge.matched + mover.judge.unmatched

    def test_boxes_are_labelled_and_one_in_no_pool_is_not_used_and_told_of_once(self) -> None:
        labels = {server.address: (server.pool, server.phase) for server in self.told[0].servers}
        self.assertEqual(labels, {"old-1": ("old", "healthy"), "new-1": ("new", "healthy"), "odd": ("", "cordoned")})
        self.shifter.tick()
        self.assertEqual(sum("odd belongs to no pool" in note for note in self.notes), 1)

    def test_what_spilt_was_never_sent_or_met_a_warming_box_is_no_evidence(self) -> None:
        self.end("old-1", ("old",))
        self.assertEqual(self.evidence, 1)
        self.end("old-1", ("new", "old"))
        self.assertEqual((self.evidence, self.counts.get("shift", "spilt")), (1, 1))
        self.end("old-1", ("old",), Ending.MOOT)
        self.end("old-1", ("old",), Ending.CANCELLED)
        self.assertEqual(self.evidence, 1)
        now = now_ms()
        self.plan.add_server(now - 1.0, "new-1", ("127.0.0.1", 2), now - 1.0)
        self.end("new-1", ("new", "old"))
        self.assertEqual((self.evidence, self.counts.get("shift", "cold_left_out")), (1, 1))

    def test_a_halt_reaches_the_other_gateway_and_another_move_s_does_not(self) -> None:
        other = self.shifter_of_a_gateway()
        assert self.shifter.mover is not None and other.mover is not None
        self.shifter.mover.turn(State.HALTED, "worse")
        self.shifter.last_announced_ms = 0.0
        self.sent.clear()
        self.shifter.tick()
        word = self.sent[-1]
        self.assertLess(len(word), 257)
        for junk in (word[:-1], word + b"x", word[:1] + b"abcd" + word[5:], word[:5] + b"\xff" + word[6:]):
            other.on_peer_message(1, junk)
        self.assertEqual(other.mover.peers, {})
        other.on_peer_message(1, word)
        other.tick()
        self.assertIs(other.mover.state, State.HALTED)

    def test_a_move_of_another_name_begins_anew_and_the_same_goes_on(self) -> None:
        first = self.shifter.mover
        assert first is not None and self.shifter.settings is not None
        pools = self.shifter.settings.pools
        self.shifter.configure(Shift(pools, move=Move("m", "old", "new", (Step(0.3),))))
        self.assertIs(self.shifter.mover, first)
        self.shifter.configure(Shift(pools, move=Move("m2", "old", "new", (Step(0.3),))))
        self.assertIsNot(self.shifter.mover, first)
        self.shifter.configure(None)
        self.assertIsNone(self.shifter.mover)
        self.assertEqual({server.pool for server in self.told[-1].servers}, {""})


BAD = {
    '{"pools": []}': "shift.pools: [] cannot be used",
    '{"pools": [{"name": "a"}]}': "shift.pools[0]: states no condition",
    '{"pools": [{"name": "a", "knd": "x"}]}': "shift.pools[0].knd: unknown; did you mean 'kind'?",
    '{"pools": [{"name": "a", "id": "("}]}': "shift.pools[0].id: '(' is no regular expression",
    '{"pools": [{"name": "a", "cell": 1}, {"name": "a", "cell": 2}]}': "shift.pools[1].name: 'a' is there twice",
    '{"pools": [{"name": "a", "cell": 1}], "default": "b"}': "shift.default: 'b' is none of the pools: a",
}
BAD_MOVES = {
    '"target": "c"': "shift.move.target: 'c' is none of the pools",
    '"target": "a"': "shift.move.target: 'a' is the source as well",
    '"target": "b", "steps": [{"share": 2}]': "shift.move.steps[0].share: 2 cannot be used",
    '"target": "b", "steps": [{"share": 0.5}, {"share": 0.5}]': "shift.move.steps: shares must rise",
    '"target": "b", "closed": [{"start_s": 2, "end_s": 1}]': "shift.move.closed[0]: ends before it starts",
    '"target": "b", "order": "go"': 'shift.move.order: "go" cannot be used',
    '"target": "b", "worse": {"tolerated": 1.5}': "shift.move.worse.accepted: 1.15 is below",
}


class Settings(unittest.TestCase):
    """The operators' section."""

    def test_each_bad_section_is_refused_with_its_reason(self) -> None:
        pools = '"pools": [{"name": "a", "cell": 1}, {"name": "b", "cell": 2}]'
        cases = dict(BAD) | {
            f'{{{pools}, "move": {{"name": "m", "source": "a", {part}}}}}': reason for part, reason in BAD_MOVES.items()
        }
        for content, reason in cases.items():
            with self.subTest(content=content), self.assertRaises(OperatorError) as caught:
                parse(f'{{"shift": {content}}}'.encode())
            self.assertTrue(str(caught.exception).startswith(reason), str(caught.exception))


class Program(GatewayTestCase):
    """On the program itself."""

    def file(self, shift: dict[str, Any] | None) -> None:
        with open(self.path_of_file, "w") as file:
            json.dump({"shift": shift} if shift else {}, file)

    def test_a_move_is_begun_told_undone_by_the_operators_and_taken_out_by_reload(self) -> None:
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.path_of_file = os.path.join(folder, "operator.json")
        old, new = self.listener(), self.listener()
        move = {
            "name": "m",
            "source": "old",
            "target": "new",
            "steps": [{"share": 1.0, "least_s": 3600.0}],
            "undo_per_s": 10.0,
        }
        pools = [{"name": "old", "id": "s0"}, {"name": "new", "id": "s1"}]
        self.file({"pools": pools, "move": move})
        self.start(old, new, arguments=("--operator", self.path_of_file))
        self.wait_for_log('shift {"move":"m","state":"stepping","share":1.0,"reason":"begun"}')
        client = self.client(build_request(1))
        first = self.accept(new)
        self.assertIn(b"0000000000000001", read_message(first))
        self.file({"pools": pools, "move": move | {"order": "undo"}})
        self.program.send_signal(signal.SIGHUP)
        self.wait_for_log('"state":"undone"')
        first.sendall(build_response(b"from the new"))  # what was out ends where it was
        self.assertTrue(read_message(client).endswith(b"from the new"))
        client.sendall(build_request(2))
        second = self.accept(old)
        self.assertIn(b"0000000000000002", read_message(second))
        second.sendall(build_response(b"from the old"))
        self.assertTrue(read_message(client).endswith(b"from the old"))
        self.file(None)
        self.program.send_signal(signal.SIGHUP)
        self.wait_for_log("operators' file taken over: shift")
        counts = self.stop()
        self.assertIn("shift.attempts_new=1", counts)
        self.assertIn("answered.served=2", counts)

    def test_a_recorded_move_is_judged_again(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path, draw = os.path.join(folder, "log"), random.Random(1)
            with open(path, "w") as file:
                for number in range(1500):
                    target = draw.random() < 0.3
                    took = math.exp(0.4 * draw.gauss(0, 1)) * (1.4 if target else 1.0)
                    file.write(
                        json.dumps(
                            {
                                "at_ms": 10.0 * number,
                                "target": target,
                                "kind": ["k", "p", 0],
                                "latency_ms": took,
                                "error": False,
                                "censored": False,
                                "district": "d",
                            }
                        )
                        + "\n"
                    )
            done = CliRunner().invoke(main, ["shift", "replay", path, "--json"])
            self.assertEqual((done.exit_code, json.loads(done.output)["worse_after_s"] > 0), (1, True))
            with open(path, "a") as file:
                file.write("{}\n")
            self.assertEqual(CliRunner().invoke(main, ["shift", "replay", path]).exit_code, 2)


if __name__ == "__main__":
    unittest.main()
