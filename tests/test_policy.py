"""The decision module, one failure in mind for each test."""

from __future__ import annotations

import math
import zlib
from collections import deque
from dataclasses import replace

import pytest

from petrelhall.decide import gossip, policy, waiting
from petrelhall.decide.correlation import critical_t, t_statistic
from petrelhall.decide.interface import (
    Action,
    Alarm,
    Arrival,
    ClientGone,
    CounterAdd,
    CounterReply,
    Effect,
    Ending,
    Event,
    Fail,
    Note,
    Outcome,
    PeerMessage,
    Plan,
    Refuse,
    RequestClass,
    Send,
    Server,
    ServerList,
    SetTimer,
    Settings,
    Started,
    Tell,
)
from petrelhall.decide.policy import Gateway
from petrelhall.decide.slowstart import COLD_LOAD_SHARE, cold_start_share, initial_cold_allowance
from petrelhall.decide.state import Customer, ServerState, spend

SETTINGS = Settings(
    classes=(
        RequestClass(Effect.REPEATABLE, aim_ms=1000, deadline_ms=3000, late_worth=0.1),
        RequestClass(Effect.KEYED, aim_ms=1000, deadline_ms=3000, window_ms=2000, late_worth=0.1),
        RequestClass(Effect.ONCE, aim_ms=1000, deadline_ms=3000, late_worth=0.1),
    ),
    plans=(
        Plan(rate=1000, burst=1000),
        Plan(rate=2, burst=4),
        Plan(rate=100, burst=100, ceiling_rate=4, ceiling_burst=8, ceiling_slack=1),
    ),
    gateways=2,
    cold_from=0.2,
    cold_ms=10000,
    overload_factor=2,
    fall_ms=1000,
    max_retry_after_ms=500,
)
HELD = Note("held")
THREE = tuple(Server(f"s{n}") for n in range(3))


def correlated(pairs: deque[tuple[float, float]]) -> bool:
    """Tell what the policy makes of a full column."""
    harness = GatewayHarness()
    for units, pressure in pairs:
        customer = harness.gateway.customers.get("a") or harness.known("a")
        harness.gateway.tracked = {customer.code: customer}
        customer.interval_units = units
        harness.gateway.delay_sum, harness.gateway.served = pressure, 1.0
        harness.feed(Alarm(0))
    return customer.flags > 0


class GatewayHarness:
    """A gateway with its list, and short ways to feed it."""

    def __init__(self, settings: Settings = SETTINGS, servers: tuple[Server, ...] = THREE, now: float = 1e6):
        self.gateway, self.now, self.last = Gateway(settings, 7), now, 0
        self.feed(Started())
        self.feed(ServerList("full", servers))

    def known(self, customer: str) -> Customer:
        self.submit(customer=customer)
        return self.gateway.customers[customer]

    def feed(self, event: Event) -> list[Action]:
        return self.gateway.handle(self.now, event)

    def submit(
        self, request_class: int = 0, plan: int = 0, customer: str = "a", units: float = 1, set_size: int = 2
    ) -> Action:
        self.last += 1
        actions = self.feed(Arrival(self.last, request_class, plan, customer, 3000, units, set_size))
        return next((a for a in actions if isinstance(a, Send | Refuse | Fail)), HELD)

    def report_outcome(
        self,
        send: Send,
        ending: Ending,
        attempt: int = 0,
        latency_ms: float = 50,
        used: float | None = None,
        finished: bool | None = None,
    ) -> list[Action]:
        finished = ending is Ending.OK if finished is None else finished
        return self.feed(Outcome(send.request, attempt, send.server, ending, latency_ms, finished, used))

    def serve(self, action: Action) -> None:
        if isinstance(action, Send):
            self.report_outcome(action, Ending.OK)


def finals(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, Refuse | Fail)]


def send_actions(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def test_once_is_not_repeated_or_refused_after_it_may_have_run() -> None:
    harness = GatewayHarness()
    send = harness.submit(request_class=2)
    assert isinstance(send, Send)
    actions = harness.report_outcome(send, Ending.RESET)
    assert not send_actions(actions)
    assert [type(a) for a in finals(actions)] == [Fail]


def test_once_goes_elsewhere_when_it_never_ran() -> None:
    harness = GatewayHarness()
    send = harness.submit(request_class=2)
    assert isinstance(send, Send)
    again = send_actions(harness.report_outcome(send, Ending.CONNECT_FAILED))
    assert len(again) == 1 and again[0].server != send.server


def test_keyed_is_not_repeated_after_its_window() -> None:
    for wait, expected in ((100.0, 1), (1900.0, 0)):
        harness = GatewayHarness()
        send = harness.submit(request_class=1)
        assert isinstance(send, Send)
        harness.now += wait
        assert len(send_actions(harness.report_outcome(send, Ending.RESET))) == expected


def test_keyed_stays_in_its_group() -> None:
    zoned = replace(SETTINGS.classes[1], group="zone")
    settings = replace(SETTINGS, classes=(zoned,))
    harness = GatewayHarness(settings, (Server("a0", zone=0), Server("b0", zone=1), Server("b1", zone=1)))
    for _ in range(6):
        send = harness.submit()
        assert isinstance(send, Send)
        for other in send_actions(harness.report_outcome(send, Ending.ERROR)):
            assert other.server[0] == send.server[0]


def test_nothing_is_sent_after_the_end() -> None:
    harness = GatewayHarness()
    send = harness.submit()
    assert isinstance(send, Send)
    harness.feed(ClientGone(send.request))
    actions = harness.report_outcome(send, Ending.RESET)
    assert not send_actions(actions) and not finals(actions)
    assert not harness.gateway.in_flight


def test_deadline_timeout_is_answered() -> None:
    harness = GatewayHarness()
    send = harness.submit(request_class=2)
    assert isinstance(send, Send)
    harness.now += 3000
    assert len(finals(harness.report_outcome(send, Ending.TIMEOUT, latency_ms=3000))) == 1


def test_no_servers_is_a_refusal_at_once() -> None:
    assert isinstance(GatewayHarness(servers=()).submit(), Refuse)


@pytest.mark.parametrize("phase", ["cordoned", "deregistered"])
def test_drained_and_gone_servers_get_nothing_new(phase: str) -> None:
    harness = GatewayHarness()
    harness.feed(ServerList("delta", (Server("s1", phase=phase),)))
    used = {a.server for a in (harness.submit() for _ in range(12)) if isinstance(a, Send)}
    assert used == {"s0", "s2"}


def test_a_server_missing_from_a_full_list_is_gone() -> None:
    harness = GatewayHarness()
    harness.feed(ServerList("full", THREE[:1]))
    assert {a.server for a in (harness.submit() for _ in range(4)) if isinstance(a, Send)} == {"s0"}


def test_cold_server_is_ramped() -> None:
    harness = GatewayHarness()
    harness.feed(ServerList("delta", (Server("cold", since_ms=harness.now),)))
    counts = 0
    for _ in range(100):
        action = harness.submit()
        counts += isinstance(action, Send) and action.server == "cold"
        harness.serve(action)
        harness.now += 10
    assert counts <= 2


def test_server_back_from_the_dead_is_cold_before_the_list_says_so() -> None:
    harness = GatewayHarness(servers=THREE[:1])
    send = harness.submit()
    assert isinstance(send, Send)
    harness.report_outcome(send, Ending.CONNECT_FAILED)
    harness.now += 5000
    harness.serve(harness.submit())
    assert harness.gateway.servers["s0"].cold_since is not None


def test_one_reset_is_a_connections_end_and_several_in_a_row_leave_a_server_alone_but_not_cold() -> None:
    harness = GatewayHarness(servers=THREE[:1])
    for ending in (Ending.RESET, Ending.RESET, Ending.OK, Ending.RESET, Ending.RESET, Ending.RESET):
        send = harness.submit()
        assert isinstance(send, Send)
        harness.report_outcome(send, ending)
    assert isinstance(harness.submit(), Refuse)
    harness.now += policy.EJECTION_MIN_MS
    harness.serve(harness.submit())
    assert harness.gateway.servers["s0"].cold_since is None


def test_ceiling_holds_over_restarts() -> None:
    passed = 0
    harness = GatewayHarness()
    for step in range(400):
        if step % 40 == 0:
            harness = GatewayHarness(now=harness.now)
        action = harness.submit(plan=2)
        passed += isinstance(action, Send)
        harness.serve(action)
        harness.now += 50
    assert passed <= 20 * SETTINGS.plans[2].ceiling_rate / 2


def test_the_ceiling_part_of_a_customer_seen_late_has_filled_since_the_start() -> None:
    harness = GatewayHarness()
    assert not isinstance(harness.submit(plan=2, customer="first"), Send)
    harness.now += 4000
    assert isinstance(harness.submit(plan=2, customer="late"), Send)


def test_quota_refuses_beyond_and_advises_no_longer_than_clients_honour() -> None:
    harness = GatewayHarness()
    answers = [harness.submit(plan=1) for _ in range(12)]
    refused = [a for a in answers if isinstance(a, Refuse)]
    assert len(answers) - len(refused) == 4
    assert all(0 < a.retry_after_ms <= 500 for a in refused)


def test_metered_use_elsewhere_shrinks_what_is_granted_here() -> None:
    settings = replace(SETTINGS, meter_ms=1000)
    passed = {}
    for used in (0.1, 2.0):
        harness = GatewayHarness(settings)
        count = 0
        for _ in range(200):
            action = harness.submit(plan=1)
            if isinstance(action, Send):
                count += 1
                harness.report_outcome(action, Ending.OK, used=used)
            harness.now += 100
        passed[used] = count
    assert passed[2.0] < 0.75 * passed[0.1]


def test_counter_lost_and_empty_creates_nothing() -> None:
    harness = GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
    granted = 0
    for n in range(8):
        actions = harness.feed(Arrival(n, 0, 1, "a", 3000, 1, 2))
        for add in (a for a in actions if isinstance(a, CounterAdd)):
            actions = harness.feed(CounterReply(add.name, Ending.OK, 1.0 if n == 2 else n + 1.0))
        granted += len(send_actions(actions))
    assert granted <= 4


def test_peers_share_one_store() -> None:
    settings = replace(SETTINGS, peers=True)
    here, there = GatewayHarness(settings), GatewayHarness(settings)
    here.serve(here.submit(plan=1))
    for _ in range(3):
        there.serve(there.submit(plan=1))
    for message in (a for a in there.feed(Alarm(1)) if isinstance(a, Tell)):
        here.feed(PeerMessage(1, message.content))
    assert isinstance(here.submit(plan=1), Refuse)


def test_a_cap_on_attempts_out_is_shared_by_what_the_others_say_is_out() -> None:
    plan = Plan(rate=100, burst=200, max_open=3)
    harness = GatewayHarness(replace(SETTINGS, plans=(plan,), peers=True, peer_messages_per_s=60))
    assert isinstance(harness.submit(), Send) and harness.submit() is HELD  # unheard: the even slice, 3 // 2
    harness.now += policy.RATE_DECAY_MS
    assert finals(harness.feed(Alarm(4)))  # it has waited long enough
    code = harness.known("a").code  # a second is out
    harness.feed(PeerMessage(1, gossip.encode([], [(code, 1)])))
    assert harness.submit() is HELD
    assert send_actions(
        harness.feed(PeerMessage(1, gossip.encode([], [(code, 0)])))
    )  # a place is free: whoever waits has it
    harness.feed(PeerMessage(1, gossip.encode([], [(code, 1)])))
    assert harness.submit() is HELD
    assert not send_actions(harness.report_outcome(Send(1, "s0"), Ending.OK))
    assert send_actions(harness.report_outcome(Send(3, "s0"), Ending.OK))
    assert harness.submit() is HELD
    harness.now += policy.ATTEMPT_REPORT_TTL_MS  # that theirs ended may have been lost
    assert send_actions(harness.feed(Alarm(4)))
    harness.report_outcome(Send(4, "s0"), Ending.OK)
    harness.feed(PeerMessage(1, gossip.encode([(code, 60)], [(code, 0)])))  # 20 a second: one may be new
    assert harness.submit() is HELD


def test_peers_hear_at_once_how_many_attempts_are_out_and_no_more_often_than_they_can() -> None:
    plan = Plan(rate=100, burst=200, max_open=3)
    harness = GatewayHarness(replace(SETTINGS, plans=(plan,), peers=True, peer_messages_per_s=60))

    def out(actions: list[Action]) -> list[float]:
        return [count for a in actions if isinstance(a, Tell) for _, count in gossip.decode(a.content)[1]]

    first = harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 1))
    assert out(first) == [1]
    second = harness.feed(Arrival(2, 0, 0, "a", 3000, 1, 1))
    third = harness.feed(Arrival(3, 0, 0, "a", 3000, 1, 1))
    timers = [a for a in second + third if isinstance(a, SetTimer) and a.token == 3]
    assert send_actions(third) and not out(second + third) and len(timers) == 1
    harness.now += timers[0].after_ms
    assert out(harness.feed(Alarm(3))) == [3]
    harness.now += 1000
    assert out(harness.report_outcome(send_actions(first)[0], Ending.OK)) == [2]
    harness.now += 1000
    assert out(harness.feed(Alarm(1))) == [2]  # again: the word may have been lost


def test_a_refusal_for_the_cap_on_attempts_out_says_to_come_back_soon_and_others_late() -> None:
    plans = Plan(rate=1000, burst=1000, max_open=1), Plan(rate=2, burst=4)
    harness = GatewayHarness(replace(SETTINGS, plans=plans, gateways=1, max_retry_after_ms=2000))
    assert isinstance(harness.submit(), Send)

    def capped() -> Refuse:
        """Give the refusal of one that waits for a place until it may wait no longer."""
        assert harness.submit() is HELD
        harness.now += waiting.MAX_WAIT_SHARE * SETTINGS.classes[0].aim_ms
        (refusal,) = finals(harness.feed(Alarm(4)))
        assert isinstance(refusal, Refuse) and refusal.cause == "open"
        return refusal

    assert capped().retry_after_ms < 500
    for _ in range(9):
        beyond = harness.submit(plan=1, customer="b")
    assert isinstance(beyond, Refuse) and beyond.retry_after_ms == 2000 and beyond.cause == "quota"
    harness.gateway.overloaded = True
    assert capped().retry_after_ms == 2000


def test_no_more_wait_for_a_place_than_can_have_one_in_time_and_who_leaves_is_forgotten() -> None:
    harness = GatewayHarness(replace(SETTINGS, plans=(Plan(rate=1000, burst=1000, max_open=1),), gateways=1))
    first = harness.submit()
    assert isinstance(first, Send)
    waits = [2 + n for n, answer in enumerate([harness.submit() for _ in range(9)]) if answer is HELD]
    # An answer is expected in 200 ms, a place is waited for 350 ms: two may wait, the others are told at once.
    assert waits == [2, 3]
    assert [a.token for a in harness.feed(Alarm(4)) if isinstance(a, SetTimer)] == [4]  # it is looked at again
    harness.feed(ClientGone(2))
    (next_one,) = send_actions(harness.report_outcome(first, Ending.OK))
    assert next_one.request == 3  # in turn, but for those who left
    assert not harness.gateway.waiting_requests


def test_an_error_that_comes_at_once_takes_little_of_the_retry_budget() -> None:
    for ending, latency_ms, retries in ((Ending.ERROR, 2.0, 4), (Ending.ERROR, 400.0, 1), (Ending.FULL, 2.0, 1)):
        harness = GatewayHarness(replace(SETTINGS, gateways=1, max_attempts=2))
        harness.gateway.retry_budget = 1.0
        tried = 0
        for _ in range(6):
            harness.gateway.retry_budget -= policy.RETRY_BUDGET_PER_REQUEST  # what the first attempt earns
            send = harness.submit()
            assert isinstance(send, Send)
            again = send_actions(harness.report_outcome(send, ending, latency_ms=latency_ms, finished=False))
            tried += len(again)
            if again:
                harness.report_outcome(again[0], Ending.OK, attempt=1)
            harness.gateway.latency = {request_class: 200.0 for request_class in SETTINGS.classes}
        assert tried == retries, ending


def test_what_a_failing_server_is_sent_is_no_measure_of_what_warm_ones_serve() -> None:
    harness = GatewayHarness(servers=(Server("a"),))
    for _ in range(6):
        send = harness.submit()
        assert isinstance(send, Send)
        harness.report_outcome(send, Ending.ERROR, latency_ms=2.0, finished=True)
    assert harness.gateway.warm_sends == 2.0  # until two errors in a row had it mistrusted


def test_a_cold_server_has_its_share_of_what_pushes_it_over_and_of_what_warm_ones_serve() -> None:
    """Half warm, it takes half of what a warm one serves, times what it bears: 0.64 of twice its capacity."""
    harness = GatewayHarness(servers=(Server("cold", since_ms=1e6 - 5000.0),))
    link = harness.gateway.servers["cold"]
    cold_start_share(link, harness.now, SETTINGS, 10.0)
    link.cold_tokens = 0.0
    cold_start_share(link, harness.now + 50.0, SETTINGS, 10.0)
    half = 0.2 + 0.8 * 5050.0 / 10000.0
    assert link.cold_tokens == pytest.approx(COLD_LOAD_SHARE * 2.0 * half * 10.0 * 0.05)


def test_what_a_lost_message_told_comes_with_the_next_and_another_count_is_not_taken_for_it() -> None:
    sums: dict[int, int] = {}
    heard: dict[tuple[int, int], int] = {}
    words = [gossip.encode([(7, 2.5)], sent_sums=sums) for _ in range(120)]  # the sum goes round
    uses = [gossip.decode(word, 1, heard)[0] for word in (words[0], words[2], *words[3:])]
    assert [units for use in uses for _, units in use] == [2.5, 5.0] + [2.5] * 117
    assert gossip.decode(words[0], 2, heard)[0] == [(7, 2.5)]  # of another peer
    begun_anew = gossip.encode([(7, 1.0)], sent_sums={})  # it has restarted: its sum is another
    assert gossip.decode(begun_anew, 1, heard)[0] == [(7, 1.0)]
    assert gossip.decode(gossip.encode([(gossip.AGE_CODE, 3.0)], sent_sums=sums), 1, heard)[0] == [
        (gossip.AGE_CODE, 3.0)
    ]
    for junk in (b"", b"\x03", b"\x03\xff", b"\x02\x00", words[0] + b"x", words[0][:-1]):
        assert gossip.decode(junk, 1, heard) == ([], [])
    full = gossip.pack({code: 1.0 for code in range(1, 90)}, {code: 1 for code in range(60)}, {})
    assert len(full[0]) <= 256 and len(full[1]) == 89 and len(full[2]) == 10


def test_gateways_that_began_together_know_that_every_store_was_full() -> None:
    """A new day, told by all others' ages; one that is older, unheard or restarted leaves the even slice."""
    settings = replace(SETTINGS, plans=(Plan(rate=1, burst=8),), gateways=4, peers=True, peer_messages_per_s=100)
    for ages, first, second in (
        ((0.5, 0.5, 0.5), 7.5, 8.0),
        ((0.5, 0.5), 1.0, 2.0),
        ((0.5, 0.5, 4.0), 1.0, 2.0),
        ((9.0, 0.5, 0.5), 1.0, 2.0),
        ((9.0, 0.5, 0.5, 0.5), 1.0, 2.0),
    ):
        harness = GatewayHarness(settings)
        harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 4))  # it draws one of its slice of two
        harness.now += 500.0
        for peer, age in enumerate(ages):
            harness.feed(PeerMessage(peer + 1, gossip.encode([(0, age)])))
        harness.feed(Arrival(2, 0, 0, "b", 3000, 1, 4))
        stores = [harness.gateway.customers[customer].shared_bucket for customer in "ab"]
        assert stores == [pytest.approx(first), pytest.approx(second - 1.0)], ages
    there = GatewayHarness(settings)
    there.now += 500.0
    (word,) = [a for a in there.feed(Alarm(1)) if isinstance(a, Tell)]
    assert gossip.decode(word.content)[0] == [(0, 0.5)]
    there.now += 5000.0
    assert not [a for a in there.feed(Alarm(1)) if isinstance(a, Tell)]


def test_a_customer_new_here_has_its_store_less_what_peers_told_of_it() -> None:
    settings = replace(SETTINGS, plans=(Plan(rate=1, burst=8),), gateways=4, peers=True, peer_messages_per_s=100)
    for used, expected in ((0.0, 8.0), (5.0, 3.0), (50.0, 2.0)):  # an even slice at least
        harness = GatewayHarness(settings)
        harness.now += policy.USAGE_REPORT_TTL_MS + 1
        harness.feed(PeerMessage(1, gossip.encode([(zlib.crc32(b"a"), used)])))
        harness.submit(set_size=4)
        assert harness.gateway.customers["a"].shared_bucket == pytest.approx(expected - 1.0)
        assert not harness.gateway.unknown_use
    harness = GatewayHarness(settings)
    harness.submit(set_size=4)  # just started: past messages are lost
    assert harness.gateway.customers["a"].shared_bucket == pytest.approx(1.0)


MANY = replace(SETTINGS, gateways=40, peers=True, peer_messages_per_s=100)
SIXTY = tuple(Server(f"s{n}") for n in range(60))


def test_of_many_gateways_a_customers_set_alone_is_told_at_once_of_what_is_out() -> None:
    plans = Plan(rate=1, burst=4), Plan(rate=100, burst=100, max_open=4)
    harness = GatewayHarness(replace(MANY, position=2, plans=plans), SIXTY)

    def told(actions: list[Action]) -> list[tuple[tuple[int, ...], object]]:
        return [(a.to, gossip.decode(a.content)) for a in actions if isinstance(a, Tell)]

    first = harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 5, set_first=39))
    assert send_actions(first) and not told(first)  # the next word to all will do
    around = harness.feed(Arrival(3, 0, 1, "c", 3000, 1, 5, set_first=39))
    assert told(around) == [((39, 0, 1, 3), ([(zlib.crc32(b"c"), 1.0)], [(zlib.crc32(b"c"), 1)]))]
    capped = harness.feed(Arrival(4, 0, 1, "b", 3000, 1, 3, set_first=1))
    other = zlib.crc32(b"b")
    assert told(capped) == [((1, 3), ([(other, 1.0)], [(other, 1)]))]
    ended = harness.report_outcome(send_actions(capped)[0], Ending.OK)
    assert told(ended) == [((1, 3), ([(other, 0.0)], [(other, 0)]))]


def test_words_to_sets_keep_to_what_peers_take_in_and_the_rest_goes_to_all() -> None:
    harness = GatewayHarness(replace(MANY, plans=(Plan(rate=100, burst=1000),)), SIXTY)
    harness.submit(set_size=11)
    gateway, code = harness.gateway, zlib.crc32(b"a")
    gateway.actions.clear()
    for _ in range(9):
        gateway.unsent[code] = 2.0
        gateway.send_to_customer_gateways(gateway.customers["a"])
    words = [a for a in gateway.actions if isinstance(a, Tell)]
    assert sum(len(word.to) for word in words) <= 75 < sum(len(word.to) for word in words) + 11  # a second's share
    harness.now += 3000
    rest = [a for a in harness.feed(Alarm(1)) if isinstance(a, Tell)]
    assert [(a.to, gossip.decode(a.content)) for a in rest] == [((), ([(code, 2.0)], []))]


def test_of_many_gateways_each_lets_a_new_customer_in_for_what_nobody_told_as_used() -> None:
    plans = (Plan(rate=0.4, burst=2),)
    assert isinstance(
        GatewayHarness(replace(MANY, plans=plans)).submit(set_size=30), Send
    )  # a slice would be 0.07 of a request
    for used, ago, goes in ((1.0, 0, True), (2.0, 0, False), (2.0, 3000, True), (2.0, 2000, False)):
        harness = GatewayHarness(replace(MANY, plans=plans))
        harness.feed(PeerMessage(3, gossip.encode([(zlib.crc32(b"a"), used)])))
        harness.now += ago
        assert isinstance(harness.submit(set_size=30), Send) == goes


def test_what_peers_have_out_counts_until_they_could_have_told_of_it_again() -> None:
    harness = GatewayHarness(replace(MANY, plans=(Plan(rate=100, burst=100, max_open=4),)))
    customer = harness.known("a")
    harness.now += 3500
    for sender in (3, 4, 5):
        harness.feed(PeerMessage(sender, gossip.encode([], [(zlib.crc32(b"a"), 1)])))
    for wait, full in (
        (0.0, True),
        (1.9 * harness.gateway.gossip_interval_ms, True),
        (0.2 * harness.gateway.gossip_interval_ms, False),
    ):
        harness.now += wait
        harness.gateway.now = harness.gateway.peer_news_at = harness.now
        assert harness.gateway.is_cap_likely_full(customer) == full


def test_a_gateway_that_has_seen_little_is_not_held_to_the_pace_of_what_it_let_in() -> None:
    harness = GatewayHarness(MANY, SIXTY)
    first = harness.gateway.rate
    assert first == pytest.approx(policy.LIMIT_START * 60 / 40)
    for _ in range(3):
        harness.now += 1000
        harness.feed(Alarm(0))
        assert harness.gateway.rate == pytest.approx(first)


def test_a_server_not_heard_of_lately_is_held_to_be_as_busy_as_others_and_a_cold_one_idle() -> None:
    def first(cold: bool) -> set[str]:
        since = 1e6 if cold else 0.0
        harness = GatewayHarness(SETTINGS, (Server("heard"), Server("unheard", since_ms=since)))
        gateway = harness.gateway
        gateway.mean_load, gateway.warm_rate = 8.0, 1000.0
        heard, unheard = gateway.servers["heard"], gateway.servers["unheard"]
        heard.other_load, heard.reported_at, unheard.cold_tokens = 4.0, harness.now, 1.0
        heard.sent = unheard.sent = 1.0
        picked = harness.submit()
        assert isinstance(picked, Send)
        return {picked.server}

    assert first(cold=False) == {"heard"} and first(cold=True) == {"unheard"}


def test_reports_of_all_servers_tell_how_busy_one_is_as_a_rule() -> None:
    harness = GatewayHarness()
    send = harness.submit()
    assert isinstance(send, Send)
    harness.feed(Outcome(send.request, 0, send.server, Ending.OK, 50, True, report={"rif": 11.0}))
    assert harness.gateway.mean_load == pytest.approx(policy.FLEET_EWMA_WEIGHT * 11.0)


def test_servers_that_drain_do_not_lower_the_pace_of_cold_ones() -> None:
    servers = Server("a"), Server("b", phase="cordoned"), Server("c", phase="cordoned")
    harness = GatewayHarness(servers=servers)
    harness.gateway.warm_sends = 5.0
    harness.feed(Alarm(0))
    assert harness.gateway.warm_rate == pytest.approx(0.2 * 5.0)


def test_a_connection_that_is_not_there_weighs_as_it_is_priced() -> None:
    for price, other in ((0.0, True), (0.08, False)):
        harness = GatewayHarness(replace(SETTINGS, handshake_price=price), SIXTY)
        for link in harness.gateway.servers.values():
            link.sent = float(link.server.address == "s0")
        harness.gateway.servers["s0"].other_load, harness.gateway.servers["s0"].reported_at = 0.5, harness.now
        harness.gateway.healthy = [harness.gateway.servers["s0"], harness.gateway.servers["s1"]]
        picked = harness.submit()
        assert isinstance(picked, Send) and (picked.server == "s1") == other


def test_a_cap_on_attempts_out_is_held_full_where_one_in_seven_times_it_is() -> None:
    harness = GatewayHarness(replace(MANY, plans=(Plan(rate=100, burst=100, max_open=4),)), SIXTY)
    customer = harness.known("a")
    harness.gateway.now = harness.now = harness.now + 3500
    harness.gateway.peer_news_at = harness.now
    customer.open = 3
    for others, full in ((2.0, False), (5.0, True)):  # begun since the news: 6% and 14% of the time
        customer.others_rate = others
        assert harness.gateway.is_cap_likely_full(customer) == full


def test_demand_is_shed_from_a_median_of_two_fifths_of_the_aim() -> None:
    for wait, slow in ((0.3, False), (0.5, True)):
        harness = GatewayHarness()
        harness.gateway.delays = [wait] * 9
        harness.feed(Alarm(0))
        assert harness.gateway.all_slow == slow


def test_of_many_gateways_one_that_started_trusts_what_it_knows_until_peers_should_have_spoken() -> None:
    harness = GatewayHarness(replace(MANY, plans=(Plan(rate=0.4, burst=3),)), SIXTY)
    for _ in range(2):
        assert isinstance(harness.submit(set_size=30), Send)
        harness.now += 100
    harness.now += policy.USAGE_REPORT_TTL_MS
    assert isinstance(harness.submit(set_size=30), Refuse)  # nobody is heard: its slice alone


def asked_of(actions: list[Action]) -> list[float]:
    return [a.amount for a in actions if isinstance(a, CounterAdd)]


def test_many_gateways_ask_the_counter_about_rates_and_their_sets_about_what_is_out() -> None:
    plans = Plan(rate=1, burst=4), Plan(rate=100, burst=100, max_open=4)
    harness = GatewayHarness(replace(MANY, counter=True, counter_wait_ms=80, plans=plans), SIXTY)
    held = harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 30))
    assert asked_of(held) == [1.0] and not send_actions(held)
    harness.gateway.customers["a"].others_rate = 0.0
    name = next(a.name for a in held if isinstance(a, CounterAdd))
    assert send_actions(harness.feed(CounterReply(name, Ending.OK, 1.0)))
    harness.now += 10
    harness.feed(Arrival(5, 0, 0, "a", 3000, 1, 30))
    assert send_actions(harness.feed(CounterReply(name, Ending.OK, 3.0)))  # another's unit is in it
    assert harness.gateway.customers["a"].others_rate == 0.0  # peers tell of it: not to be counted twice
    assert send_actions(harness.feed(Arrival(2, 0, 1, "b", 3000, 1, 10))) and not harness.gateway.pending_calls


def test_of_many_gateways_none_asks_about_a_store_that_must_be_empty_and_a_refusal_is_given_back() -> None:
    harness = GatewayHarness(replace(MANY, counter=True, counter_wait_ms=80, plans=(Plan(rate=1, burst=4),)), SIXTY)
    held = harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 30))
    name = next(a.name for a in held if isinstance(a, CounterAdd))
    level = 4 + harness.now % policy.COUNTER_NAME_TTL_MS / 1000  # what the name may hold by now
    harness.gateway.ask_share = 0.9  # given back at once though the counter was crowded
    refused = harness.feed(CounterReply(name, Ending.OK, level + 1.0))
    assert isinstance(finals(refused)[0], Refuse) and asked_of(refused) == [-1.0]
    harness.gateway.ask_share = 1.0
    again = harness.feed(Arrival(2, 0, 0, "a", 3000, 1, 30))
    assert isinstance(finals(again)[0], Refuse) and not asked_of(again)
    harness.now += 1100
    assert asked_of(harness.feed(Arrival(3, 0, 0, "a", 3000, 1, 30))) == [1.0]


def test_of_many_gateways_none_asks_the_counter_for_what_it_would_refuse_anyway() -> None:
    harness = GatewayHarness(replace(MANY, counter=True, counter_wait_ms=80, plans=(Plan(rate=1, burst=4),)), SIXTY)
    harness.gateway.admit_tokens = harness.gateway.rate = 0.0
    refused = harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 30))
    assert isinstance(finals(refused)[0], Refuse) and not asked_of(refused)


def test_what_goes_beyond_a_quota_takes_nothing_from_the_store() -> None:
    assert [spend(store, units) for store, units in ((3.5, 2), (0.9, 1), (2.5, 4), (0.0, 3))] == [1.5, 0.9, 0.5, 0.0]
    harness = GatewayHarness(replace(MANY, plans=(Plan(rate=0.001, burst=2),)), SIXTY)
    customer = harness.known("a")
    for told, left in ((0.5, 0.5), (1.0, 0.5), (1.0, 0.5)):
        harness.feed(PeerMessage(3, gossip.encode([(customer.code, told)])))
        assert customer.shared_bucket == pytest.approx(left)


def test_what_is_told_again_and_again_of_a_customer_that_never_comes_is_not_kept_for_ever() -> None:
    harness, code = GatewayHarness(MANY, SIXTY), zlib.crc32(b"never here")
    for _ in range(60):
        harness.feed(PeerMessage(3, gossip.encode([(code, 1.0)])))
        harness.now += 1000
        harness.feed(Alarm(0))
    assert len(harness.gateway.unknown_use[code]) <= policy.IDLE_CUSTOMER_TTL_MS / 1000
    harness.now += 2 * policy.IDLE_CUSTOMER_TTL_MS
    harness.feed(Alarm(0))
    assert not harness.gateway.unknown_use


def test_customers_that_came_once_are_soon_forgotten() -> None:
    harness = GatewayHarness()
    for n in range(50):
        harness.serve(harness.submit(customer=f"c{n}"))
    assert len(harness.gateway.customers) == 50
    for _ in range(20):  # seconds
        harness.now += 1000
        harness.feed(Alarm(0))
    assert not harness.gateway.customers and not harness.gateway.by_code


def test_attempts_that_follow_a_failed_one_leave_the_cap_on_attempts_out_as_it_is() -> None:
    plan = Plan(rate=1000, burst=1000, max_open=2)
    harness = GatewayHarness(replace(SETTINGS, plans=(plan,), gateways=1))
    for _ in range(4):
        first = harness.submit(set_size=1)
        assert isinstance(first, Send)
        (second,) = send_actions(harness.report_outcome(first, Ending.ERROR))
        harness.report_outcome(second, Ending.OK, attempt=1)
    assert harness.gateway.customers["a"].open == 0
    assert isinstance(harness.submit(set_size=1), Send) and isinstance(harness.submit(set_size=1), Send)
    assert harness.submit(set_size=1) is HELD


def test_no_counter_call_for_a_request_that_cannot_wait_for_it() -> None:
    harness = GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
    assert any(isinstance(a, Send) for a in harness.feed(Arrival(1, 0, 1, "a", 100, 1, 2)))


def test_a_silent_counter_is_left_alone_and_requests_still_answered() -> None:
    harness = GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
    add = next(a for a in harness.feed(Arrival(1, 0, 1, "a", 3000, 1, 2)) if isinstance(a, CounterAdd))
    assert send_actions(harness.feed(CounterReply(add.name, Ending.TIMEOUT)))
    calls = 0
    for n in range(2, 102):
        harness.now += 1000
        actions = harness.feed(Arrival(n, 0, 1, f"c{n}", 3000, 1, 2))
        for add in (a for a in actions if isinstance(a, CounterAdd)):
            calls += 1
            actions = harness.feed(CounterReply(add.name, Ending.TIMEOUT))
        for send in send_actions(actions):
            harness.report_outcome(send, Ending.OK)
        assert send_actions(actions)
    assert calls < 60


def test_full_servers_mean_one_refusal_at_once() -> None:
    harness = GatewayHarness()
    answers = [harness.submit() for _ in range(40)]
    assert sum(isinstance(a, Send) for a in answers) <= 3 * policy.LIMIT_START
    assert all(isinstance(a, Send | Refuse) for a in answers)


@pytest.mark.parametrize("junk", [b"", b"\x01", b"\xff" * 40, b"\x01\x02\x03\x00\x09" + b"\x00" * 7])
def test_junk_from_peers_is_passed_over(junk: bytes) -> None:
    harness = GatewayHarness(replace(SETTINGS, peers=True))
    assert harness.feed(PeerMessage(1, junk)) == []
    assert isinstance(harness.submit(), Send)


def test_a_server_that_fails_one_class_is_avoided_for_that_class_alone() -> None:
    harness, sent = GatewayHarness(), {0: 0, 1: 0}
    for n in range(300):
        request_class = n % 2
        action = harness.submit(request_class=request_class)
        if isinstance(action, Send):
            sent[request_class] += action.server == "s0"
            failed = request_class == 1 and action.server == "s0"
            harness.report_outcome(action, Ending.ERROR if failed else Ending.OK, latency_ms=200, finished=True)
        harness.now += 10
    assert sent[1] < 5 and sent[0] > 30


def test_a_gateway_that_stood_still_blames_no_server() -> None:
    harness = GatewayHarness()
    harness.feed(Alarm(0))
    send = harness.submit()
    assert isinstance(send, Send)
    harness.now += 2500
    harness.report_outcome(send, Ending.OK, latency_ms=2500)
    assert harness.gateway.servers[send.server].slowness == 1.0 and not harness.gateway.delays


def test_a_driver_of_pressure_is_flagged_and_others_are_not() -> None:
    pressure = [1.0 + (n % 5) for n in range(policy.CORRELATION_WINDOW)]
    assert correlated(deque((10.0 * p, p) for p in pressure))
    assert not correlated(deque((100.0 - 10.0 * p, p) for p in pressure))
    assert not correlated(deque((float(n % 2), p) for n, p in enumerate(pressure)))


def test_constant_input_gives_no_flag() -> None:
    assert not correlated(deque((7.0, float(n)) for n in range(policy.CORRELATION_WINDOW)))
    assert t_statistic([(float(n), 7.0) for n in range(policy.CORRELATION_WINDOW)]) == 0.0


@pytest.mark.parametrize(("n", "point"), [(8, 2.447), (12, 2.228), (30, 2.048)])
def test_critical_points_are_students_at_the_degrees_of_freedom_at_hand(n: int, point: float) -> None:
    assert critical_t(policy.NORMAL_QUANTILE, n) == pytest.approx(point, rel=0.02)


def press(harness: GatewayHarness, intervals: int) -> tuple[int, int]:
    """Drive pressure with one customer's bursts; count its and a quiet one's refusals."""
    refused = [0, 0]
    for n in range(intervals):
        harness.now += 1000
        heavy = n % 3 == 0
        for customer, count in (("heavy", 60 if heavy else 6), ("quiet", 2)):
            for _ in range(count):
                action = harness.submit(plan=0 if customer == "quiet" else 3, customer=customer)
                refused[customer == "quiet"] += isinstance(action, Refuse)
                if isinstance(action, Send):
                    harness.report_outcome(action, Ending.OK, latency_ms=1900 if heavy else 1100)
        harness.feed(Alarm(0))
    return refused[0], refused[1]


def test_cut_hits_the_driver_only_and_lifts() -> None:
    settings = replace(SETTINGS, plans=SETTINGS.plans + (Plan(rate=15, burst=1000),))
    harness = GatewayHarness(settings)
    heavy, quiet = press(harness, 20)
    assert heavy > 0 and quiet == 0
    for _ in range(3):
        harness.now += 1000
        harness.serve(harness.submit(customer="quiet"))
        harness.feed(Alarm(0))
    assert not harness.gateway.overloaded
    assert all(c.throttle_rate == 0 for c in harness.gateway.customers.values())


def test_same_events_same_actions_also_interleaved() -> None:
    def run(doors: list[GatewayHarness]) -> list[list[str]]:
        seen: list[list[str]] = [[] for _ in doors]
        for n in range(200):
            for index, harness in enumerate(doors):
                harness.now += 13
                action = harness.submit(request_class=n % 3, plan=n % 3, customer=f"c{n % 7}")
                seen[index].append(repr(action))
                harness.serve(action)
        return seen

    alone = run([GatewayHarness()])[0]
    assert run([GatewayHarness(), GatewayHarness()]) == [alone, alone]


def test_memory_stays_bounded_with_ever_new_customers() -> None:
    harness = GatewayHarness()
    for n in range(4000):
        harness.now += 100
        harness.serve(harness.submit(customer=f"new-{n}"))
        if n % 10 == 0:
            harness.feed(Alarm(0))
    assert len(harness.gateway.customers) < 1000
    assert len(harness.gateway.tracked) <= policy.MAX_TRACKED_CUSTOMERS
    assert not harness.gateway.in_flight


@pytest.mark.parametrize("change", [{"gateways": 0}, {"classes": ()}, {"plans": (Plan(rate=-1, burst=1),)}])
def test_senseless_settings_name_their_field(change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(change))):
        replace(SETTINGS, **change)


def test_a_crowded_counter_hears_a_share_of_the_tries_for_all_of_them() -> None:
    harness = GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
    harness.gateway.ask_share = 0.5
    told, asked = 0.0, 0
    for n in range(400):
        harness.now += 1000
        actions = harness.feed(Arrival(n, 0, 0, f"c{n}", 3000, 1, 2))
        for add in (a for a in actions if isinstance(a, CounterAdd)):
            told, asked = told + add.amount, asked + 1
            harness.gateway.ask_share = 0.5
            harness.feed(CounterReply(add.name, Ending.OK, add.amount))
            harness.gateway.ask_share = 0.5
    assert 150 < asked < 250 and told == 2 * asked


def test_a_customer_of_hundreds_of_gateways_is_let_in_at_each() -> None:
    for settings in (replace(SETTINGS, meter_ms=1000), replace(SETTINGS, counter=True, counter_wait_ms=80)):
        for n in range(20):
            harness = GatewayHarness(settings)
            harness.now += 10000 * n
            actions = harness.feed(Arrival(1, 0, 1, "a", 3000, 1, 200))
            for add in (a for a in actions if isinstance(a, CounterAdd)):
                actions = harness.feed(CounterReply(add.name, Ending.OK, add.amount))
            assert send_actions(actions)


def test_hundreds_of_gateways_do_not_push_a_cold_server_over() -> None:
    settings, sent = replace(SETTINGS, gateways=400), 0
    for seed in range(400):
        harness = GatewayHarness(settings)
        harness.gateway.random.seed(seed)
        harness.feed(ServerList("delta", (Server("cold", since_ms=harness.now),)))
        for _ in range(10):
            harness.now += 100
            action = harness.submit()
            sent += isinstance(action, Send) and action.server == "cold"
            harness.serve(action)
    assert sent <= 4


@pytest.mark.parametrize("gateways", [1, 3, 20, 30, 200])
@pytest.mark.parametrize("way", ["steady", "uneven", "crowd"])
def test_all_gateways_together_keep_within_what_a_cold_server_bears(gateways: int, way: str) -> None:
    """In any stretch of the settings' time the sum is at most N + 2 sqrt(N) + 2, N being what the settings allow.

    N counts from what a warm server serves as things are, which its capacity is never below. The crowd has nothing to
    send for 4 s and then all wants at once. The warm-up is used all the same.
    """
    total = 12.0  # attempts/s of a warm server
    for place in range(12):
        address, sent = f"10.0.0.{place}:80", []
        shares = [1.0 + 9.0 * (way == "uneven" and number % 7 == place % 7) for number in range(gateways)]
        links = []
        for number in range(gateways):
            settings = replace(SETTINGS, gateways=gateways, position=number)
            link = ServerState(Server(address), 12.0, initial_cold_allowance(address, settings), 0.0)
            link.cold_since = 0.0
            links.append((link, settings, total * shares[number] / sum(shares)))
        for step in range(1, 500):
            now = step * 20.0
            for number, (link, settings, rate) in enumerate(links):
                if way == "crowd" and now % 5000.0 < 4000.0:
                    continue
                if way != "crowd" and (step * 7919 + number * 104729) % 997 >= 997 * min(1.0, 10.0 * rate * 0.02):
                    continue
                if cold_start_share(link, now, settings, rate) > 0.0:
                    link.cold_tokens -= 1.0
                    sent.append(now)
        fall, used = SETTINGS.fall_ms, 0.0
        for first, begin in enumerate(sent):
            ramp = SETTINGS.cold_from + (1.0 - SETTINGS.cold_from) * begin / SETTINGS.cold_ms
            allowed = SETTINGS.overload_factor * ramp * total * fall / 1000.0
            within = sum(begin <= when < begin + fall for when in sent[first:])
            assert within <= allowed + 2.0 * allowed**0.5 + 2.0, (place, begin, within, allowed)
            used += 1.0 / allowed
        assert way == "crowd" or used >= 2.5, (place, used)  # of 10 that all would be allowed


def test_units_of_a_request_that_was_never_sent_on_are_given_back_and_of_one_that_was_are_not() -> None:
    def left(*endings: Ending) -> tuple[float, float, float]:
        harness = GatewayHarness(replace(SETTINGS, peers=True, peer_messages_per_s=100), servers=THREE[:1])
        harness.now += 4000.0  # until the ceiling's part has filled
        send = harness.submit(plan=2)
        assert isinstance(send, Send)
        for attempt, ending in enumerate(endings):
            harness.report_outcome(send, ending, attempt, finished=attempt == len(endings) - 1)
        customer = harness.gateway.customers["a"]
        return customer.shared_bucket, customer.cap, harness.gateway.unsent.get(customer.code, 0.0)

    given, kept = left(Ending.MOOT), left(Ending.ERROR)
    assert given == (kept[0] + 1.0, kept[1] + 1.0, 0.0) and kept[2] == 1.0
    assert left(Ending.CONNECT_FAILED) == kept  # the platform's own count may hold it


def test_what_the_counter_granted_to_a_client_that_has_left_goes_back_with_the_next_call() -> None:
    for left_first in (True, False):
        harness = GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
        harness.last += 1
        first = next(a for a in harness.feed(Arrival(harness.last, 0, 1, "a", 3000)) if isinstance(a, CounterAdd))
        if left_first:
            harness.feed(ClientGone(harness.last))
        actions = harness.feed(CounterReply(first.name, Ending.OK, first.amount))
        if not left_first:
            (send,) = send_actions(actions)
            harness.feed(ClientGone(harness.last))
            harness.report_outcome(send, Ending.MOOT, finished=True)
        assert harness.gateway.customers["a"].correction == -first.amount
        assert not harness.gateway.in_flight


def test_a_repeat_says_until_when_it_may_be_written_and_what_never_ran_may_wait() -> None:
    harness = GatewayHarness()
    send = harness.submit(request_class=1)
    assert isinstance(send, Send) and send.write_by == math.inf
    begun = harness.now
    harness.now += 100.0
    (again,) = send_actions(harness.report_outcome(send, Ending.ERROR))
    assert again.write_by == pytest.approx(begun + policy.WINDOW_MARGIN * 2000.0)
    (third,) = send_actions(harness.report_outcome(again, Ending.FULL, 1))
    assert third.write_by == again.write_by  # the first may have run
    send = harness.submit(request_class=0)
    assert isinstance(send, Send)
    (again,) = send_actions(harness.report_outcome(send, Ending.ERROR))
    assert again.write_by == math.inf


def test_a_server_quiet_with_work_out_gets_nothing_new() -> None:
    harness = GatewayHarness(servers=THREE[:2])
    first = harness.submit()
    assert isinstance(first, Send)
    harness.now += 400
    harness.gateway.servers[first.server].sent = harness.now
    harness.now += 200
    for _ in range(3):
        action = harness.submit()
        assert isinstance(action, Send) and action.server != first.server
        harness.serve(action)


def test_a_stuck_attempt_does_not_lock_a_server_out() -> None:
    harness = GatewayHarness(servers=THREE[:1])
    assert isinstance(harness.submit(request_class=2), Send)
    harness.now += 600
    assert isinstance(harness.submit(), Send)
    assert isinstance(harness.submit(), Refuse)


def test_calm_spells_do_not_open_limits_that_are_not_in_use() -> None:
    harness = GatewayHarness()
    for _ in range(500):
        harness.serve(harness.submit())
        harness.now += 10
    assert all(link.limit < 2 * policy.LIMIT_START for link in harness.gateway.servers.values())


def test_messages_stay_within_what_a_peer_takes_in() -> None:
    for gateways in (3, 12):
        harness = GatewayHarness(replace(SETTINGS, peers=True, peer_messages_per_s=60, gateways=gateways))
        timer = next(a for a in harness.feed(Alarm(1)) if isinstance(a, SetTimer))
        assert (gateways - 1) * 1000 / timer.after_ms < 60


def test_no_attempt_in_the_last_moments_whatever_was_learned() -> None:
    harness = GatewayHarness()
    for n in range(300):
        sent = send_actions(harness.feed(Arrival(1000 + n, 0, 0, "a", 30, 1, 2)))
        for send in sent:
            harness.report_outcome(send, Ending.TIMEOUT, latency_ms=5, finished=True)
        harness.now += 10
    send = harness.submit()
    assert isinstance(send, Send)
    harness.now += 2999.999
    actions = harness.report_outcome(send, Ending.TIMEOUT, latency_ms=2999)
    assert not send_actions(actions) and len(finals(actions)) == 1


def test_hundreds_of_gateways_hold_one_ceiling_from_the_first_second_and_over_restarts() -> None:
    plan = Plan(rate=100, burst=400, ceiling_rate=100, ceiling_burst=400, ceiling_slack=40)
    settings, sent = replace(SETTINGS, plans=(plan,), gateways=200), 0
    for seed in range(200):
        harness = GatewayHarness(settings)
        harness.gateway.random.seed(seed)
        for step in range(60):
            if step == 30:
                harness = GatewayHarness(settings, now=harness.now)
            harness.now += 100
            action = harness.submit(set_size=200)
            sent += isinstance(action, Send)
            harness.serve(action)
    assert sent <= plan.ceiling_burst + 6 * plan.ceiling_rate + plan.ceiling_slack


def test_a_share_told_by_a_peer_holds_for_a_customer_not_yet_seen() -> None:
    settings = replace(SETTINGS, peers=True, peer_messages_per_s=60, gateways=200)
    settings = replace(settings, counter=True, counter_wait_ms=80)
    finder, other = GatewayHarness(settings), GatewayHarness(settings)
    finder.gateway.ask_share = 1.0
    for n in range(1, 4):
        add = next(a for a in finder.feed(Arrival(n, 0, 1, "a", 3000, 1, 200)) if isinstance(a, CounterAdd))
        finder.feed(CounterReply(add.name, Ending.OK, 1000.0))
        finder.feed(CounterReply(add.name, Ending.OK, 999.0))
    tell = next(a for a in finder.feed(Alarm(1)) if isinstance(a, Tell))
    other.feed(PeerMessage(1, tell.content))
    other.gateway.ask_share = 0.0
    assert isinstance(other.submit(plan=1, set_size=200), Refuse)
    assert isinstance(other.submit(plan=1, customer="b", set_size=200), Send)


def let_in(harness: GatewayHarness, tries: int, latency_ms: float) -> int:
    """Play a second of tries that are all answered after the given time."""
    passed = 0
    for _ in range(tries):
        harness.now += 1000 / tries
        action = harness.submit()
        if isinstance(action, Send):
            passed += 1
            harness.report_outcome(action, Ending.OK, latency_ms=latency_ms)
    harness.feed(Alarm(0))
    return passed


def test_a_slow_fleet_sheds_demand_and_room_comes_back() -> None:
    harness = GatewayHarness(replace(SETTINGS, gateways=200))
    for latency_ms, least, most in ((50, 10, 10), (600, 0, 2), (50, 10, 10)):
        for _ in range(24):
            passed = let_in(harness, 10, latency_ms)
        assert least <= passed <= most


def test_tries_that_multiply_do_not_multiply_what_is_let_in() -> None:
    harness = GatewayHarness(replace(SETTINGS, gateways=200))
    for _ in range(10):
        let_in(harness, 10, 50)
    assert let_in(harness, 200, 50) <= 40


def test_unanswered_work_shuts_the_door_before_any_answer_tells() -> None:
    harness = GatewayHarness(replace(SETTINGS, gateways=200), servers=tuple(Server(f"s{n}") for n in range(40)))
    harness.gateway.rate = 5.0
    sent = 0
    for _ in range(40):
        harness.now += 50
        sent += isinstance(harness.submit(), Send)
    assert 1 <= sent <= 3


def test_a_first_second_lets_in_no_more_than_may_be_out_at_all_servers() -> None:
    harness = GatewayHarness(replace(SETTINGS, gateways=360))
    assert harness.gateway.rate == policy.ADMISSION_RATE_MIN
    assert GatewayHarness(replace(SETTINGS, gateways=12)).gateway.rate == policy.LIMIT_START * 3 / 12


def test_answers_of_cold_servers_do_not_slow_the_fleet() -> None:
    harness = GatewayHarness(servers=(Server("s0", since_ms=1e6 - 100),))
    harness.gateway.servers["s0"].cold_tokens = 1.0
    send = harness.submit()
    assert isinstance(send, Send)
    harness.report_outcome(send, Ending.OK, latency_ms=900)
    assert harness.gateway.delays == []


def counted(total: float, harness: GatewayHarness | None = None) -> tuple[GatewayHarness, list[CounterAdd]]:
    """Let one try call the counter, which tells the given total; what is added thereupon."""
    harness = harness or GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
    harness.last += 1
    first = next(a for a in harness.feed(Arrival(harness.last, 0, 1, "a", 3000)) if isinstance(a, CounterAdd))
    actions = harness.feed(CounterReply(first.name, Ending.OK, total))
    return harness, [a for a in actions if isinstance(a, CounterAdd)]


def test_units_refused_by_the_store_on_the_counter_are_given_back_at_once() -> None:
    _, adds = counted(1000.0)
    assert [a.amount for a in adds] == [-1.0]


def test_a_full_store_on_the_counter_loses_what_is_more() -> None:
    harness = GatewayHarness(
        replace(SETTINGS, counter=True, counter_wait_ms=80), now=50 * policy.COUNTER_NAME_TTL_MS + 10000
    )
    _, adds = counted(1.0, harness)
    assert [a.amount for a in adds] == [20.0]  # 10 s at 2 units a second


def test_a_store_put_right_twice_is_taken_back_once() -> None:
    harness = GatewayHarness(
        replace(SETTINGS, counter=True, counter_wait_ms=80), now=50 * policy.COUNTER_NAME_TTL_MS + 10000
    )
    _, adds = counted(1.0, harness)
    late = harness.feed(CounterReply(adds[0].name, Ending.OK, 41.0))
    assert [a.amount for a in late if isinstance(a, CounterAdd)] == [-20.0]


def test_a_new_name_does_not_bring_a_new_burst() -> None:
    harness = GatewayHarness(
        replace(SETTINGS, counter=True, counter_wait_ms=80), now=51 * policy.COUNTER_NAME_TTL_MS - 100
    )
    _, adds = counted(4.0 + 2 * (policy.COUNTER_NAME_TTL_MS - 100) / 1000, harness)
    assert not adds
    harness.feed(CounterReply(0, Ending.OK, 0.0))
    harness.now += 200
    _, adds = counted(1.0, harness)
    assert [round(a.amount, 1) for a in adds] == [2.8]  # what it lacked, less the try refused


def test_a_crowd_at_the_counter_is_one_cut() -> None:
    harness = GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
    adds = [a for n in range(1, 9) for a in harness.feed(Arrival(n, 0, 0, f"c{n}", 3000))]
    names = [a.name for a in adds if isinstance(a, CounterAdd)]
    harness.now += 80
    for name in names:
        harness.feed(CounterReply(name, Ending.TIMEOUT))
    assert harness.gateway.ask_share == policy.COUNTER_SAMPLING_CUT


def test_a_class_that_hangs_once_does_not_end_trust_in_its_server() -> None:
    harness = GatewayHarness(servers=THREE[:1])
    send = harness.submit()
    assert isinstance(send, Send)
    harness.now += 600
    harness.feed(Alarm(send.request + policy.FIRST_REQUEST_TOKEN))
    value, _ = harness.gateway.servers["s0"].health[0]
    assert value == 0.5


def test_an_overdue_request_counts_as_slow_at_once_and_only_once() -> None:
    harness = GatewayHarness()
    send = harness.submit()
    assert isinstance(send, Send)
    harness.now += 600
    harness.feed(Alarm(send.request + policy.FIRST_REQUEST_TOKEN))
    assert harness.gateway.delays == [0.6]
    harness.report_outcome(send, Ending.OK, latency_ms=900)
    assert harness.gateway.delays == [0.6]
