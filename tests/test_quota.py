"""Owned shares of quotas and ceilings: hard cases, every short sequence of troubles, and real processes cut apart."""

from __future__ import annotations

import json
import os
import tempfile
import unittest
from types import SimpleNamespace
from typing import Any

import msgspec
from click.testing import CliRunner

from petrelhall.cli.main import main
from petrelhall.decide import interface as api
from petrelhall.decide import snapshot
from petrelhall.decide.interface import Ending
from petrelhall.decide.policy import IDLE_CUSTOMER_TTL_MS, Gateway
from petrelhall.emulate.exchange import explore as explore_counter
from petrelhall.emulate.quota import explore, fleet
from petrelhall.events import Dropped, Send
from petrelhall.gateway.sharing import IDLE_ACCOUNT_TTL_MS, OwnedAccounts, QuotaSharing
from petrelhall.quota.bound import STATES, bounds, worst
from petrelhall.quota.exchange import Call, Desk, Exchange
from petrelhall.quota.ledger import ARRIVE_MS, TURN_MS, Account, Ledger
from petrelhall.quota.shares import MARGIN, SKEW_MS, Share, Terms
from petrelhall.quota.words import ROOM, Entry, Word, decode, encode
from petrelhall.standins.meter import Meter
from petrelhall.standins.strikes import Play, Strike
from petrelhall.standins.world import settings as platform

TERMS = Terms(rate=40.0, burst=60.0, gateways=4)
LIFE = TERMS.life_ms


def old(now: float = 0.0, terms: Terms = TERMS) -> Share:
    """A share of a process that has run for long: full."""
    return Share(terms, now - 1e6, now)


class Shares(unittest.TestCase):
    """One gateway's share of one quota."""

    def test_a_loan_is_gone_before_it_is_told_and_the_store_stays_smaller_until_it_is_surely_over(self) -> None:
        share = old()
        self.assertEqual(share.available(0.0), 15.0)
        self.assertEqual(share.lend(0.0, 20), 20)
        self.assertEqual(share.available(0.0), 5.0)
        self.assertEqual(share.available(LIFE * MARGIN - 1.0), 5.0)  # it may not fill what another may spend
        self.assertAlmostEqual(share.available(LIFE * MARGIN + 200.0), 7.0)  # only since then

    def test_a_borrower_that_stood_still_finds_its_loan_over_before_it_spends(self) -> None:
        share = Share(TERMS, 0.0, 0.0)
        self.assertTrue(share.borrowed(100.0, 50.0, 16))
        self.assertEqual(share.available(100.0), 8.0)
        self.assertLess(share.available(50.0 + LIFE), 1.0)  # counted from the ask, not from the answer
        self.assertFalse(share.borrowed(5000.0, 50.0, 16))  # one that comes after its end is none

    def test_clocks_that_run_apart_cannot_have_a_unit_in_two_places(self) -> None:
        lender_fast, borrower_slow = 1.01, 0.99
        over_by_lender = LIFE * MARGIN / lender_fast  # real ms after the loan, which came after the ask
        over_by_borrower = LIFE / borrower_slow  # real ms after the ask
        self.assertGreater(over_by_lender, over_by_borrower)

    def test_one_that_starts_empty_owns_nothing_that_the_life_before_may_have_lent(self) -> None:
        share = Share(TERMS, 1000.0, 1000.0)
        self.assertEqual(share.available(1000.0 + LIFE), 0.0)
        self.assertAlmostEqual(share.available(1000.0 + LIFE * MARGIN + 500.0), 5.0)
        later = Share(TERMS, 1000.0, 1000.0 + LIFE * MARGIN + 500.0)  # a district first seen then
        self.assertAlmostEqual(later.available(1000.0 + LIFE * MARGIN + 500.0), 5.0)

    def test_a_process_that_was_replaced_keeps_what_it_has_and_grows_no_more(self) -> None:
        share = old()
        share.spend(0.0, 15.0)
        share.freeze(100.0)
        self.assertAlmostEqual(share.available(100.0), 1.0)
        self.assertAlmostEqual(share.available(9000.0), 1.0)

    def test_what_is_needed_here_is_not_lent(self) -> None:
        share = old()
        for now in range(0, 1000, 50):
            share.asked(float(now), 1.0)  # 20 a second
        self.assertLessEqual(share.lend(1000.0, 100) / 2.0, 4.0)


class Words(unittest.TestCase):
    """Asks and loans between two ledgers."""

    def pair(self) -> tuple[Ledger, Ledger]:
        ledgers = Ledger(0, 11, 100.0, 1, 0.0), Ledger(1, 22, 100.0, 1, -1e6)
        for number, ledger in enumerate(ledgers):
            ledger.account(7, False, TERMS, (1 - number,), 0.0)
        return ledgers

    def ask(self, ledger: Ledger, now: float, units: float = 8.0) -> list[bytes]:
        ledger.want(ledger.accounts[7, False], now, units)
        return [action.content for action in ledger.turn(now) if isinstance(action, Send)]

    def test_units_come_within_two_turns_and_are_taken_out_where_they_came_from(self) -> None:
        poor, rich = self.pair()
        for content in self.ask(poor, 0.0):
            rich.heard(10.0, 0, content)
        for action in rich.turn(TURN_MS):
            assert isinstance(action, Send)
            poor.heard(TURN_MS + 10.0, 1, action.content)
        got = poor.accounts[7, False].share.available(TURN_MS + 10.0)
        self.assertGreaterEqual(got, 8.0)
        self.assertEqual(rich.lent, got)
        self.assertLessEqual(rich.accounts[7, False].share.available(TURN_MS) + got, 15.0)

    def test_an_account_whose_plan_changes_goes_on_with_what_it_has(self) -> None:
        _, rich = self.pair()
        account = rich.account(7, False, TERMS, (0,), 0.0)
        account.share.spend(0.0, 9.0)
        for burst, left in ((80.0, 6.0), (16.0, 4.0)):
            again = rich.account(7, False, Terms(40.0, burst, 4), (0,), 0.0)
            self.assertIs(again, account)
            self.assertEqual((again.share.terms.burst, again.share.available(0.0)), (burst, left))

    def test_what_comes_twice_late_for_another_life_or_for_nothing_asked_is_dropped(self) -> None:
        poor, rich = self.pair()
        (ask,) = self.ask(poor, 0.0)
        rich.heard(10.0, 0, ask)
        lent = rich.lent
        self.assertEqual(rich.heard(20.0, 0, ask), [Dropped("repeated")])
        self.assertEqual(rich.lent, lent)
        (loan,) = [action.content for action in rich.turn(TURN_MS) if isinstance(action, Send)]
        self.assertEqual(poor.heard(60.0, 1, loan), [])
        self.assertEqual(poor.heard(70.0, 1, loan), [Dropped("unasked")])
        reborn = Ledger(0, 12, 100.0, 1, 0.0)
        reborn.account(7, False, TERMS, (1,), 0.0)
        self.assertEqual(reborn.heard(80.0, 1, loan), [Dropped("other_life")])
        poor.accounts[7, False].asked[1, decode(loan).loans[0].nonce] = -5000.0  # type: ignore[union-attr]
        self.assertEqual(poor.heard(90.0, 1, loan), [Dropped("over")])
        self.assertEqual(poor.heard(90.0, 1, loan[:-1]), [Dropped("spoilt")])
        spoilt = loan[:8] + bytes([loan[8] ^ 1]) + loan[9:]
        self.assertEqual(poor.heard(90.0, 1, spoilt), [Dropped("spoilt")])

    def test_one_that_hears_nothing_of_what_it_is_lent_cannot_drain_the_lender(self) -> None:
        poor, rich = self.pair()
        for step in range(200):  # ten seconds; every loan is lost
            now = 50.0 * step
            for content in self.ask(poor, now):
                rich.heard(now, 0, content)
            rich.turn(now)
        self.assertLess(rich.lent, 0.2 * TERMS.rate * 10.0)
        self.assertGreater(ARRIVE_MS, 2 * 300.0)  # a way there and back at the slowest

    def test_a_district_whose_only_busy_gateway_is_cut_off_gets_that_ones_part_and_no_more(self) -> None:
        ledger, meter = Ledger(0, 1, 100.0, 1, -1e6), Meter(TERMS.rate, TERMS.burst)
        account = ledger.account(7, False, TERMS, (1, 2, 3), 0.0)
        for now in range(0, 10000, 10):  # 100 units a second, and nobody answers
            ledger.want(account, float(now), 1.0)
            ledger.turn(float(now))
            if account.share.available(float(now)) >= 1.0:
                account.share.spend(float(now), 1.0)
                meter.use(7, now / 1000.0)
        part = (TERMS.burst + TERMS.rate * 10.0) / TERMS.gateways
        self.assertGreater(meter.stores[7].used, 0.98 * part)
        self.assertLessEqual(meter.stores[7].used, part)

    def test_a_word_holds_what_fits_and_the_rest_waits_for_its_turn_and_its_budget(self) -> None:
        ledger = Ledger(0, 1, 1.0, 1, 0.0)
        accounts = [ledger.account(code, False, TERMS, (1, 2, 3), 0.0) for code in range(60)]
        sent = []
        for now in range(0, 10000, 50):
            for account in accounts:
                ledger.want(account, float(now), 5.0)
            sent += [len(action.content) for action in ledger.turn(float(now)) if isinstance(action, Send)]
        self.assertLessEqual(max(sent), 256)
        self.assertLessEqual(len(sent), 1 * 10 + 2)
        entries = tuple(Entry(n, n, n, True) for n in range(ROOM))
        self.assertEqual(
            decode(encode(Word(1, 2, 3, entries[:4], entries[4:]))), Word(1, 2, 3, entries[:4], entries[4:])
        )

    def test_districts_that_came_once_are_forgotten(self) -> None:
        ledger = Ledger(0, 1, 4.0, 1, -1e6)
        for code in range(10000):
            ledger.account(code, False, TERMS, (1,), 0.0)
        ledger.forget(20000.0, 5000.0)
        self.assertEqual(len(ledger.accounts), 0)
        # A customer that the module still holds has its account here too, or it could neither ask nor lend.
        self.assertGreater(IDLE_ACCOUNT_TTL_MS, IDLE_CUSTOMER_TTL_MS)


class Module(unittest.TestCase):
    """The decision module with what is owned in place of its stores."""

    def gateway(self, seen: list[object], ceiling: float = 20.0) -> Gateway:
        plans = (api.Plan(rate=40.0, burst=200.0, ceiling_rate=50.0, ceiling_burst=20.0),)
        module = Gateway(
            api.Settings(
                classes=(api.RequestClass(api.Effect.REPEATABLE, aim_ms=2000.0, deadline_ms=6000.0),),
                plans=plans,
                gateways=4,
                peers=True,
                peer_messages_per_s=100.0,
                max_retry_after_ms=2000.0,
            ),
            1,
        )

        class Owner:
            """Hands out a share that is full of the quota, and as much of the ceiling."""

            def account(self, customer: object, now: float) -> OwnedAccounts:
                ledger = Ledger(0, 1, 1.0, 1, -1e9)
                owned = OwnedAccounts(
                    ledger,
                    ledger.account(1, False, TERMS, (), now),
                    ledger.account(1, True, Terms(50.0, ceiling, 4), (), now),
                )
                seen.append(owned)
                return owned

        module.quota_owner = Owner()
        module.handle(0.0, api.Started())
        module.handle(0.0, api.ServerList("full", tuple(api.Server(f"s{n}") for n in range(12))))
        return module

    def test_what_is_owned_decides_whatever_peers_tell_and_both_accounts_are_drawn_on(self) -> None:
        seen: list[OwnedAccounts] = []
        module = self.gateway(seen)  # type: ignore[arg-type]
        sent = 0
        for number in range(30):
            actions = module.handle(1.0, api.Arrival(number, 0, 0, "a", 6000.0, 1.0, 4, False))
            sent += sum(isinstance(action, api.Send) for action in actions)
        self.assertEqual(sent, 5)  # the ceiling's part, 20 / 4, is less than the quota's, 60 / 4
        assert seen[0].quota is not None and seen[0].ceiling is not None
        self.assertAlmostEqual(seen[0].quota.share.available(1.0), 10.0)
        self.assertAlmostEqual(seen[0].ceiling.share.available(1.0), 0.0)

    def test_the_quota_decides_where_it_is_the_lesser_and_news_of_peers_adds_nothing(self) -> None:
        module = self.gateway([], ceiling=400.0)
        sent = 0
        for number in range(30):
            actions = module.handle(1.0, api.Arrival(number, 0, 0, "a", 6000.0, 1.0, 4, False))
            sent += sum(isinstance(action, api.Send) for action in actions)
        self.assertEqual(sent, 15)

    def test_customers_of_a_snapshot_are_decided_by_what_is_owned_too(self) -> None:
        old, new = self.gateway([]), self.gateway([])
        for number in range(3):
            old.handle(1.0, api.Arrival(number, 0, 0, "a", 6000.0, 1.0, 4, False))
        told = json.loads(json.dumps(snapshot.take(old, old.settings, [1.0], [0.0])))
        snapshot.restore(new, new.settings, told, 2.0)
        self.assertIsNotNone(new.customers["a"].owned_quota)
        new.refill(new.customers["a"])
        self.assertEqual(new.customers["a"].ceiling_bucket, 5.0)


class Exhaustive(unittest.TestCase):
    """Every sequence of troubles to a bounded depth, and shares with mistakes put in."""

    def test_no_sequence_puts_a_unit_in_two_places(self) -> None:
        found = explore(2)
        self.assertEqual(found.broken, [])
        self.assertGreater(found.states, 300)

    def test_mistakes_put_in_on_purpose_are_found(self) -> None:
        for mistaken in (LendsWhatItKeeps, ForgetsWhatItLent, KeepsLoansForEver, OwnsAtOnce):
            self.assertTrue(explore(3, mistaken).broken, mistaken.__name__)


class LendsWhatItKeeps(Share):
    """Lends without taking out."""

    def lend(self, now: float, halves: int | None = None, least_halves: int = 2, until: float | None = None) -> int:
        store = self.store
        spare = super().lend(now, halves, least_halves, until)
        self.store = store
        return spare


class ForgetsWhatItLent(Share):
    """Fills at once what another may still spend."""

    def lend(self, now: float, halves: int | None = None, least_halves: int = 2, until: float | None = None) -> int:
        spare = super().lend(now, halves, least_halves, until)
        self.lent.clear()
        return spare


class KeepsLoansForEver(Share):
    """Spends a loan after its life, as one does that stood still and does not look at its clock."""

    def borrowed(self, now: float, asked_at: float, halves: int) -> bool:
        return super().borrowed(now, asked_at + 1e9, halves)


class OwnsAtOnce(Share):
    """Takes a full store at its start, which its earlier life may have lent."""

    def __post_init__(self) -> None:
        self.born = -1e9
        super().__post_init__()


class ThroughTheCounter(unittest.TestCase):
    """Units lent through the shared counter, whatever becomes of it."""

    COUNTED = Terms(rate=40.0, burst=60.0, gateways=4, counter=True)

    def one(self, number: int, now: float) -> tuple[Exchange, Share]:
        ledger = Ledger(number, number + 1, 0.0, number, -1e6)
        share = ledger.account(7, False, self.COUNTED, (), now).share
        return Exchange(ledger), share

    def first(self, exchange: Exchange, now: float, want: float = 0.0) -> Call:
        """Give the first call that is made from a time on, in turns of the ledger."""
        while True:
            if want:
                exchange.ledger.want(exchange.ledger.accounts[7, False], now, want)
            calls = exchange.turn(now)
            if calls:
                return calls[0]
            now += TURN_MS

    def test_what_is_put_in_is_out_of_the_store_and_may_not_be_filled_until_nobody_can_spend_it(self) -> None:
        exchange, share = self.one(0, 0.0)
        call = self.first(exchange, 0.0)
        self.assertEqual((call.amount, share.available(0.0)), (15.0, 0.0))
        exchange.answered(5.0, call.name, True, False, 15.0)
        # Taken at the last moment of the window by a clock that is late, and held for a loan's life.
        last_ms = self.COUNTED.window_ms + SKEW_MS + self.COUNTED.life_ms
        self.assertEqual(share.available(last_ms), 0.0)
        self.assertGreater(share.available(last_ms * MARGIN + 200.0), 1.0)

    def test_what_surely_did_not_arrive_is_taken_back_and_what_may_have_is_not(self) -> None:
        for refused, left in ((True, 15.0), (False, 0.0)):
            exchange, share = self.one(0, 0.0)
            call = self.first(exchange, 0.0)
            exchange.answered(80.0, call.name, False, refused, 0.0)
            self.assertEqual(share.available(80.0), left)
            exchange.answered(90.0, call.name, True, False, 15.0)  # an end told twice changes nothing
            self.assertEqual(share.available(90.0), left)

    def test_no_more_is_got_than_was_there_and_nothing_without_an_answer(self) -> None:
        for ok, there, got in ((True, 99.0, 1.0), (True, 8.0, 8.0), (True, -5.0, 0.0), (False, 99.0, 0.0)):
            exchange, share = self.one(0, 0.0)
            share.spend(0.0, 15.0)
            call = self.first(exchange, 0.0, want=20.0)
            self.assertLess(call.amount, -8.0)
            before = share.available(call.made)
            exchange.answered(call.made, call.name, ok, False, (there + call.amount) * ok)
            self.assertAlmostEqual(share.available(call.made) - before, got if got != 1.0 else -call.amount)

    def test_who_heard_late_or_stood_still_gets_nothing_and_one_that_starts_owns_nothing_of_it(self) -> None:
        exchange, share = self.one(0, 0.0)
        share.spend(0.0, 15.0)
        call = self.first(exchange, 0.0, want=20.0)
        late = call.made + self.COUNTED.life_ms
        before = share.available(late)
        exchange.answered(late, call.name, True, False, 0.0)
        self.assertEqual(share.available(late), before)
        began = Share(self.COUNTED, 0.0, 0.0)
        self.assertEqual(began.available(self.COUNTED.life_ms + self.COUNTED.window_ms + SKEW_MS), 0.0)

    def test_only_what_surely_was_not_added_is_told_so(self) -> None:
        heard: list[tuple[Any, ...]] = []
        part = SimpleNamespace(exchange=SimpleNamespace(answered=lambda *values: heard.append(values)))
        for ending in (Ending.OK, Ending.TIMEOUT, Ending.FULL, Ending.CONNECT_FAILED, Ending.ERROR):
            QuotaSharing.on_counter_reply(part, api.CounterReply(7, ending, 3.0))  # type: ignore[arg-type]
        self.assertEqual(
            [(ok, refused) for _, _, ok, refused, _ in heard],
            [(True, False), (False, False), (False, True), (False, True), (False, True)],
        )

    def test_calls_are_few_and_a_counter_that_fails_is_not_pressed(self) -> None:
        exchange, _ = self.one(0, 0.0)
        exchange.ledger.accounts[7, False].share.spend(0.0, 15.0)
        calls, now = 0, 0.0
        while now < 10000.0:
            exchange.ledger.want(exchange.ledger.accounts[7, False], now, 1.0)
            for call in exchange.turn(now):
                calls += 1
                exchange.answered(now, call.name, False, True, 0.0)
            now += 20.0
        self.assertLess(calls, 0.05 * 500)

    def test_units_that_nobody_takes_are_put_in_ever_more_seldom(self) -> None:
        exchange, _ = self.one(0, 0.0)
        totals: dict[int, float] = {}
        puts, now = [], 0.0
        while now < 30000.0:
            for call in exchange.turn(now):
                totals[call.name] = totals.get(call.name, 0.0) + call.amount
                if call.amount > 0.0:
                    puts.append(now)
                exchange.answered(now, call.name, True, False, totals[call.name])
            now += TURN_MS
        self.assertLess(sum(at > 15000.0 for at in puts), 0.7 * sum(at <= 15000.0 for at in puts))

    def test_no_sequence_of_a_counters_troubles_puts_a_unit_in_two_places(self) -> None:
        found = explore_counter(2)
        self.assertEqual(found.broken, [])
        self.assertGreater(found.states, 250)

    def test_mistakes_put_in_on_purpose_are_found(self) -> None:
        for mistaken in (PutsBackForOthers, TakesWhatIsNotThere, HasBackWhatMayHaveCome, PutsWhatItKeeps):
            self.assertTrue(explore_counter(3, mistaken).broken, mistaken.__name__)

    def test_a_soak_of_real_processes_passes_nothing_and_asks_seldom(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            out = os.path.join(folder, "out.json")
            result = CliRunner().invoke(
                main, ["quota", "soak", "--minutes", "0.5", "--every", "4", "--districts", "4", "--json", out]
            )
            self.assertEqual(result.exit_code, 0, result.output)
            with open(out) as file:
                figures = json.load(file)
        self.assertGreaterEqual(figures["troubles"], 6)
        self.assertGreater(figures["units_taken"], 100)
        self.assertEqual((figures["ceiling_passed"], figures["lost"]), (0.0, 0))
        self.assertLess(figures["calls_per_request"], 0.3)


class PutsBackForOthers(Exchange):
    """Puts back what it took and was not there, on whatever counter there is by then."""

    back: tuple[tuple[Call, float], ...] = ()

    def answered(self, now: float, name: int, ok: bool, refused: bool, total: float) -> None:
        call = self.names.get(name)
        super().answered(now, name, ok, refused, total)
        if call is not None and ok and call.amount < 0.0 and total < 0.0:
            self.back = (*self.back, (call, min(-call.amount, -total)))

    def turn(self, now: float) -> list[Call]:
        back, self.back = self.back, ()
        calls = [
            self.call(now, call.account, self.desk((call.account.code, False)), int(2.0 * units), units, call.window)
            for call, units in back
        ]
        return calls + super().turn(now)


class TakesWhatIsNotThere(Exchange):
    """Grants all that it asked for."""

    def answered(self, now: float, name: int, ok: bool, refused: bool, total: float) -> None:
        super().answered(now, name, ok, refused, max(0.0, total))


class HasBackWhatMayHaveCome(Exchange):
    """Takes a call without an answer for one that was not carried out."""

    def answered(self, now: float, name: int, ok: bool, refused: bool, total: float) -> None:
        super().answered(now, name, ok, not ok, total)


class PutsWhatItKeeps(Exchange):
    """Puts in units and keeps them."""

    def call(self, now: float, account: Account, desk: Desk, halves: int, amount: float, window: int) -> Call:
        if amount > 0.0:
            account.share.store += amount
            account.share.lent.clear()
        return super().call(now, account, desk, halves, amount, window)


class Stated(unittest.TestCase):
    """The error that is stated, and fleets and processes held against it."""

    def test_the_bound_names_every_state_and_is_a_few_units(self) -> None:
        rows = {one.state: one for one in bounds(TERMS, 40.0, 100.0)}
        self.assertEqual(tuple(rows), STATES)
        self.assertEqual(rows["split"].beyond, 40.0 * 0.01 * 40.0 + 40.0 * 0.15)
        self.assertEqual(worst(TERMS, 40.0, 100.0, 2), rows["well"].beyond + 30.0)

    def test_the_command_prints_it_and_says_where_nothing_is_stated(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path, operator = os.path.join(folder, "config.json"), os.path.join(folder, "operator.json")
            with open(path, "w") as file:
                json.dump(
                    {
                        "listen": "127.0.0.1:1",
                        "discovery": "127.0.0.1:2",
                        "seed": "1",
                        "settings": platform(4, 0, 1500.0),
                    },
                    file,
                )
            with open(operator, "w") as file:
                json.dump({"quota": {"on": True}}, file)
            off = CliRunner().invoke(main, ["quota", "bound", path, "--json"])
            self.assertEqual((off.exit_code, json.loads(off.output)["holds"]), (1, False))
            on = CliRunner().invoke(main, ["quota", "bound", path, "--operator", operator, "--json"])
            rows = json.loads(on.output)["bounds"]
            self.assertEqual(on.exit_code, 0)
            self.assertEqual({row["what"] for row in rows}, {"quota", "ceiling"})
            self.assertEqual(CliRunner().invoke(main, ["quota", "bound", os.path.join(folder, "none")]).exit_code, 2)

    def test_large_fleets_follow_uneven_demand_within_the_bound_with_messages_lost_and_a_split(self) -> None:
        for loss, split, least in ((0.0, False, 0.8), (0.3, False, 0.55), (0.0, True, 0.4)):
            played = fleet(12, 60, 3, 8.0, 1, loss=loss, split=split)
            self.assertLessEqual(played.worst_beyond, played.stated_beyond)
            self.assertGreater(played.served_share, least, (loss, split))
        even = fleet(12, 60, 3, 8.0, 1, lend=False)
        self.assertGreater(fleet(12, 60, 3, 8.0, 1).served_share, even.served_share + 0.2)

    def test_the_meter_finds_what_passes_a_quota(self) -> None:
        meter = Meter(10.0, 5.0)
        for at in (0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.1, 0.1):
            meter.use(1, at)
        self.assertAlmostEqual(meter.worst(), 2.0)
        meter.refuse(1, 0.1)
        meter.refuse(1, 9.0)
        self.assertEqual((meter.refused, meter.refused_half_unused), (2, 1))

    def test_real_processes_cut_in_two_keep_every_quota_and_go_on_serving(self) -> None:
        play = Play(
            strikes=(
                Strike(2.0, "cut", (0, 1), 6.0, (2, 3)),
                Strike(3.0, "kill", (3,), 0.0),
                Strike(4.0, "stop", (0,), 1.5),
            )
        )
        with tempfile.TemporaryDirectory() as folder:
            script, out = os.path.join(folder, "script.json"), os.path.join(folder, "out.json")
            with open(script, "wb") as file:
                file.write(msgspec.json.encode(play))
            result = CliRunner().invoke(
                main, ["drill", "quota", "--seconds", "12", "--districts", "3", "--script", script, "--json", out]
            )
            self.assertEqual(result.exit_code, 0, result.output)
            with open(out) as file:
                figures = json.load(file)
        self.assertLessEqual(figures["worst_error_units"], figures["stated_error_units"])
        self.assertEqual((figures["lost"], figures["districts"]), (0, 3))


if __name__ == "__main__":
    unittest.main()
