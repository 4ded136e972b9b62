"""Tests of the decision module: events go in and the resulting actions are checked, without sockets or clocks."""

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
WAITING = Note("waiting")  # stands for a request without an attempt or a final answer
THREE_SERVERS = tuple(Server(f"s{n}") for n in range(3))


def is_flagged(samples: deque[tuple[float, float]]) -> bool:
    """Tell whether the policy flags a customer after these samples of units and load pressure."""
    harness = GatewayHarness()
    for units, pressure in samples:
        customer = harness.gateway.customers.get("a") or harness.add_customer("a")
        harness.gateway.tracked_customers = {customer.code: customer}
        customer.interval_units = units
        harness.gateway.normalized_latency_sum, harness.gateway.served_attempts = pressure, 1.0
        harness.feed(Alarm(0))
    return customer.consecutive_flags > 0


class GatewayHarness:
    """A gateway that has its server list, with shortcuts to send it events on a clock set by the test."""

    def __init__(self, settings: Settings = SETTINGS, servers: tuple[Server, ...] = THREE_SERVERS, now: float = 1e6):
        self.gateway, self.now, self.last_request = Gateway(settings, 7), now, 0
        self.feed(Started())
        self.feed(ServerList("full", servers))

    def add_customer(self, customer: str) -> Customer:
        """Submit one request of a customer and return what the gateway knows of the customer."""
        self.submit(customer=customer)
        return self.gateway.customers[customer]

    def feed(self, event: Event) -> list[Action]:
        """Handle one event at the current time."""
        return self.gateway.handle(self.now, event)

    def submit(
        self, request_class: int = 0, plan: int = 0, customer: str = "a", units: float = 1, set_size: int = 2
    ) -> Action:
        """Submit a new request; return its attempt or final answer, or WAITING if there is neither yet."""
        self.last_request += 1
        actions = self.feed(Arrival(self.last_request, request_class, plan, customer, 3000, units, set_size))
        return next((a for a in actions if isinstance(a, Send | Refuse | Fail)), WAITING)

    def report_outcome(
        self,
        send: Send,
        ending: Ending,
        attempt: int = 0,
        latency_ms: float = 50,
        used: float | None = None,
        finished: bool | None = None,
    ) -> list[Action]:
        """Report how an attempt ended; by default only success finishes the request."""
        finished = ending is Ending.OK if finished is None else finished
        return self.feed(Outcome(send.request, attempt, send.server, ending, latency_ms, finished, used))

    def complete(self, action: Action) -> None:
        """Report success if the action is an attempt."""
        if isinstance(action, Send):
            self.report_outcome(action, Ending.OK)


def final_answers(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, Refuse | Fail)]


def send_actions(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def test_uploads_use_half_of_the_places_and_are_never_overdue() -> None:
    harness = GatewayHarness(servers=(Server("s0"),))  # six places
    uploads = [harness.feed(Arrival(number, 0, 0, "a", 3000, 1, 2, is_upload=True)) for number in range(1, 5)]
    assert [len(send_actions(actions)) for actions in uploads] == [1, 1, 1, 0]
    assert final_answers(uploads[3])[0].cause == "uploads"
    assert not any(isinstance(action, SetTimer) for actions in uploads for action in actions)
    assert send_actions(harness.feed(Arrival(5, 0, 0, "a", 3000, 1, 2)))  # a usual request
    harness.report_outcome(send_actions(uploads[0])[0], Ending.OK)
    assert send_actions(harness.feed(Arrival(6, 0, 0, "a", 3000, 1, 2, is_upload=True)))


def test_a_server_that_only_uploads_are_open_at_is_not_taken_for_silent() -> None:
    harness = GatewayHarness(servers=(Server("s0"),))
    for number, pause_ms in ((1, 600.0), (2, 100.0)):
        harness.feed(Arrival(number, 0, 0, "a", 3000, 1, 2, is_upload=True))
        harness.now += pause_ms
    assert send_actions(harness.feed(Arrival(3, 0, 0, "a", 3000, 1, 2)))


def test_once_request_fails_without_retry_after_it_may_have_run() -> None:
    harness = GatewayHarness()
    send = harness.submit(request_class=2)
    assert isinstance(send, Send)
    actions = harness.report_outcome(send, Ending.RESET)
    assert not send_actions(actions)
    assert [type(a) for a in final_answers(actions)] == [Fail]


def test_once_request_is_retried_on_another_server_if_it_never_ran() -> None:
    harness = GatewayHarness()
    send = harness.submit(request_class=2)
    assert isinstance(send, Send)
    retry_sends = send_actions(harness.report_outcome(send, Ending.CONNECT_FAILED))
    assert len(retry_sends) == 1 and retry_sends[0].server != send.server


def test_keyed_request_is_not_retried_after_its_window() -> None:
    for delay_ms, retries in ((100.0, 1), (1900.0, 0)):
        harness = GatewayHarness()
        send = harness.submit(request_class=1)
        assert isinstance(send, Send)
        harness.now += delay_ms
        assert len(send_actions(harness.report_outcome(send, Ending.RESET))) == retries


def test_keyed_request_is_retried_within_its_server_group_only() -> None:
    keyed_by_zone = replace(SETTINGS.classes[1], group="zone")
    settings = replace(SETTINGS, classes=(keyed_by_zone,))
    harness = GatewayHarness(settings, (Server("a0", zone=0), Server("b0", zone=1), Server("b1", zone=1)))
    for _ in range(6):
        send = harness.submit()
        assert isinstance(send, Send)
        for retry in send_actions(harness.report_outcome(send, Ending.ERROR)):
            assert retry.server[0] == send.server[0]


def test_no_attempt_or_answer_after_the_client_has_disconnected() -> None:
    harness = GatewayHarness()
    send = harness.submit()
    assert isinstance(send, Send)
    harness.feed(ClientGone(send.request))
    actions = harness.report_outcome(send, Ending.RESET)
    assert not send_actions(actions) and not final_answers(actions)
    assert not harness.gateway.in_flight


def test_timeout_at_the_deadline_gets_one_final_answer() -> None:
    harness = GatewayHarness()
    send = harness.submit(request_class=2)
    assert isinstance(send, Send)
    harness.now += 3000
    assert len(final_answers(harness.report_outcome(send, Ending.TIMEOUT, latency_ms=3000))) == 1


def test_request_is_refused_immediately_without_servers() -> None:
    assert isinstance(GatewayHarness(servers=()).submit(), Refuse)


@pytest.mark.parametrize("phase", ["cordoned", "deregistered"])
def test_draining_and_deregistered_servers_get_no_new_attempts(phase: str) -> None:
    harness = GatewayHarness()
    harness.feed(ServerList("delta", (Server("s1", phase=phase),)))
    used = {a.server for a in (harness.submit() for _ in range(12)) if isinstance(a, Send)}
    assert used == {"s0", "s2"}


def test_server_missing_from_a_full_list_gets_no_new_attempts() -> None:
    harness = GatewayHarness()
    harness.feed(ServerList("full", THREE_SERVERS[:1]))
    assert {a.server for a in (harness.submit() for _ in range(4)) if isinstance(a, Send)} == {"s0"}


def test_cold_server_receives_few_attempts() -> None:
    harness = GatewayHarness()
    harness.feed(ServerList("delta", (Server("cold", since_ms=harness.now),)))
    cold_sends = 0
    for _ in range(100):
        action = harness.submit()
        cold_sends += isinstance(action, Send) and action.server == "cold"
        harness.complete(action)
        harness.now += 10
    assert cold_sends <= 2


def test_server_that_recovers_counts_as_cold_before_discovery_reports_it() -> None:
    """A refused connection proves that the server was down, so its next success begins a slow start."""
    harness = GatewayHarness(servers=THREE_SERVERS[:1])
    send = harness.submit()
    assert isinstance(send, Send)
    harness.report_outcome(send, Ending.CONNECT_FAILED)
    harness.now += 5000
    harness.complete(harness.submit())
    assert harness.gateway.servers["s0"].cold_since is not None


def test_consecutive_resets_eject_a_server_without_making_it_cold() -> None:
    """Single resets are closed connections; three in a row eject the server, which has not restarted."""
    harness = GatewayHarness(servers=THREE_SERVERS[:1])
    for ending in (Ending.RESET, Ending.RESET, Ending.OK, Ending.RESET, Ending.RESET, Ending.RESET):
        send = harness.submit()
        assert isinstance(send, Send)
        harness.report_outcome(send, ending)
    assert isinstance(harness.submit(), Refuse)
    harness.now += policy.EJECTION_MIN_MS
    harness.complete(harness.submit())
    assert harness.gateway.servers["s0"].cold_since is None


def test_ceiling_holds_across_restarts() -> None:
    """A gateway that started with a full ceiling bucket would admit a new burst after every restart."""
    admitted = 0
    harness = GatewayHarness()
    for step in range(400):
        if step % 40 == 0:
            harness = GatewayHarness(now=harness.now)
        action = harness.submit(plan=2)
        admitted += isinstance(action, Send)
        harness.complete(action)
        harness.now += 50
    assert admitted <= 20 * SETTINGS.plans[2].ceiling_rate / 2


def test_ceiling_bucket_of_a_new_customer_has_filled_since_the_gateway_started() -> None:
    harness = GatewayHarness()
    assert not isinstance(harness.submit(plan=2, customer="first"), Send)
    harness.now += 4000
    assert isinstance(harness.submit(plan=2, customer="late"), Send)


def test_requests_beyond_quota_are_refused_with_a_bounded_retry_delay() -> None:
    harness = GatewayHarness()
    answers = [harness.submit(plan=1) for _ in range(12)]
    refused = [a for a in answers if isinstance(a, Refuse)]
    assert len(answers) - len(refused) == 4
    assert all(0 < a.retry_after_ms <= 500 for a in refused)


def test_metered_use_through_other_gateways_reduces_local_admissions() -> None:
    settings = replace(SETTINGS, meter_ms=1000)
    admitted = {}
    for used in (0.1, 2.0):
        harness = GatewayHarness(settings)
        count = 0
        for _ in range(200):
            action = harness.submit(plan=1)
            if isinstance(action, Send):
                count += 1
                harness.report_outcome(action, Ending.OK, used=used)
            harness.now += 100
        admitted[used] = count
    assert admitted[2.0] < 0.75 * admitted[0.1]


def test_reset_counter_grants_no_extra_units() -> None:
    """The third call finds that the counter has lost its total: the reply holds only the unit of this call."""
    harness = GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
    granted = 0
    for n in range(8):
        actions = harness.feed(Arrival(n, 0, 1, "a", 3000, 1, 2))
        for add in (a for a in actions if isinstance(a, CounterAdd)):
            actions = harness.feed(CounterReply(add.name, Ending.OK, 1.0 if n == 2 else n + 1.0))
        granted += len(send_actions(actions))
    assert granted <= 4


def test_peers_share_one_token_bucket() -> None:
    settings = replace(SETTINGS, peers=True)
    local, remote = GatewayHarness(settings), GatewayHarness(settings)
    local.complete(local.submit(plan=1))
    for _ in range(3):
        remote.complete(remote.submit(plan=1))
    for message in (a for a in remote.feed(Alarm(1)) if isinstance(a, Tell)):
        local.feed(PeerMessage(1, message.content))
    assert isinstance(local.submit(plan=1), Refuse)


def test_concurrency_cap_includes_open_attempts_reported_by_peers() -> None:
    plan = Plan(rate=100, burst=200, max_open=3)
    harness = GatewayHarness(replace(SETTINGS, plans=(plan,), peers=True, peer_messages_per_s=60))
    # Without any peer message the even share holds: 3 // 2 attempts.
    assert isinstance(harness.submit(), Send) and harness.submit() is WAITING
    harness.now += policy.RATE_DECAY_MS
    assert final_answers(harness.feed(Alarm(4)))  # refused after the longest wait
    code = harness.add_customer("a").code  # starts a second attempt
    harness.feed(PeerMessage(1, gossip.encode([], [(code, 1)])))
    assert harness.submit() is WAITING
    # The free place goes to the waiting request.
    assert send_actions(harness.feed(PeerMessage(1, gossip.encode([], [(code, 0)]))))
    harness.feed(PeerMessage(1, gossip.encode([], [(code, 1)])))
    assert harness.submit() is WAITING
    assert not send_actions(harness.report_outcome(Send(1, "s0"), Ending.OK))
    assert send_actions(harness.report_outcome(Send(3, "s0"), Ending.OK))
    assert harness.submit() is WAITING
    harness.now += policy.ATTEMPT_REPORT_TTL_MS  # the report that the peer's attempt ended may have been lost
    assert send_actions(harness.feed(Alarm(4)))
    harness.report_outcome(Send(4, "s0"), Ending.OK)
    # At 20 requests/s the peer may have started another.
    harness.feed(PeerMessage(1, gossip.encode([(code, 60)], [(code, 0)])))
    assert harness.submit() is WAITING


def test_open_attempts_are_reported_to_peers_immediately_within_the_message_limit() -> None:
    plan = Plan(rate=100, burst=200, max_open=3)
    harness = GatewayHarness(replace(SETTINGS, plans=(plan,), peers=True, peer_messages_per_s=60))

    def reported_counts(actions: list[Action]) -> list[float]:
        return [count for a in actions if isinstance(a, Tell) for _, count in gossip.decode(a.content)[1]]

    first = harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 1))
    assert reported_counts(first) == [1]
    second = harness.feed(Arrival(2, 0, 0, "a", 3000, 1, 1))
    third = harness.feed(Arrival(3, 0, 0, "a", 3000, 1, 1))
    timers = [a for a in second + third if isinstance(a, SetTimer) and a.token == 3]
    assert send_actions(third) and not reported_counts(second + third) and len(timers) == 1
    harness.now += timers[0].after_ms
    assert reported_counts(harness.feed(Alarm(3))) == [3]
    harness.now += 1000
    assert reported_counts(harness.report_outcome(send_actions(first)[0], Ending.OK)) == [2]
    harness.now += 1000
    assert reported_counts(harness.feed(Alarm(1))) == [2]  # repeated, since the message may have been lost


def test_refusal_by_the_concurrency_cap_advises_an_early_retry_and_others_a_late_one() -> None:
    plans = Plan(rate=1000, burst=1000, max_open=1), Plan(rate=2, burst=4)
    harness = GatewayHarness(replace(SETTINGS, plans=plans, gateways=1, max_retry_after_ms=2000))
    assert isinstance(harness.submit(), Send)

    def refused_by_cap() -> Refuse:
        """Return the refusal of a request that has waited for a place as long as it may."""
        assert harness.submit() is WAITING
        harness.now += waiting.MAX_WAIT_SHARE * SETTINGS.classes[0].aim_ms
        (refusal,) = final_answers(harness.feed(Alarm(4)))
        assert isinstance(refusal, Refuse) and refusal.cause == "open"
        return refusal

    assert refused_by_cap().retry_after_ms < 500
    for _ in range(9):
        over_quota = harness.submit(plan=1, customer="b")
    assert isinstance(over_quota, Refuse) and over_quota.retry_after_ms == 2000 and over_quota.cause == "quota"
    harness.gateway.overloaded = True
    assert refused_by_cap().retry_after_ms == 2000


def test_waiting_requests_are_limited_to_those_that_can_start_in_time() -> None:
    harness = GatewayHarness(replace(SETTINGS, plans=(Plan(rate=1000, burst=1000, max_open=1),), gateways=1))
    first = harness.submit()
    assert isinstance(first, Send)
    waiting_numbers = [2 + n for n, answer in enumerate([harness.submit() for _ in range(9)]) if answer is WAITING]
    # An answer is expected in 200 ms and a request may wait for 350 ms: two may wait, the others are refused at once.
    assert waiting_numbers == [2, 3]
    assert [a.token for a in harness.feed(Alarm(4)) if isinstance(a, SetTimer)] == [4]  # the next check is scheduled
    harness.feed(ClientGone(2))
    (next_send,) = send_actions(harness.report_outcome(first, Ending.OK))
    assert next_send.request == 3  # in order of arrival, without disconnected clients
    assert not harness.gateway.waiting_requests


def test_fast_error_costs_little_of_the_retry_budget() -> None:
    for ending, latency_ms, retries in ((Ending.ERROR, 2.0, 4), (Ending.ERROR, 400.0, 1), (Ending.FULL, 2.0, 1)):
        harness = GatewayHarness(replace(SETTINGS, gateways=1, max_attempts=2))
        harness.gateway.retry_budget = 1.0
        retried = 0
        for _ in range(6):
            harness.gateway.retry_budget -= policy.RETRY_BUDGET_PER_REQUEST  # cancels what the first attempt earns
            send = harness.submit()
            assert isinstance(send, Send)
            retry_sends = send_actions(harness.report_outcome(send, ending, latency_ms=latency_ms, finished=False))
            retried += len(retry_sends)
            if retry_sends:
                harness.report_outcome(retry_sends[0], Ending.OK, attempt=1)
            harness.gateway.latency_per_unit_ms = {request_class: 200.0 for request_class in SETTINGS.classes}
        assert retried == retries, ending


def test_attempts_to_a_failing_server_do_not_count_towards_the_warm_rate() -> None:
    harness = GatewayHarness(servers=(Server("a"),))
    for _ in range(6):
        send = harness.submit()
        assert isinstance(send, Send)
        harness.report_outcome(send, Ending.ERROR, latency_ms=2.0, finished=True)
    assert harness.gateway.warm_sends == 2.0  # those before two consecutive errors


def test_cold_server_allowance_follows_its_ramp_and_the_warm_rate() -> None:
    """Half way through slow start: the ramp's share of the warm rate, times 0.64 of the overload factor of 2."""
    harness = GatewayHarness(servers=(Server("cold", since_ms=1e6 - 5000.0),))
    server_state = harness.gateway.servers["cold"]
    cold_start_share(server_state, harness.now, SETTINGS, 10.0)
    server_state.cold_tokens = 0.0
    cold_start_share(server_state, harness.now + 50.0, SETTINGS, 10.0)
    ramp = 0.2 + 0.8 * 5050.0 / 10000.0
    assert server_state.cold_tokens == pytest.approx(COLD_LOAD_SHARE * 2.0 * ramp * 10.0 * 0.05)


def test_use_of_a_lost_message_is_recovered_from_the_sum_of_the_next_one() -> None:
    """A sum that does not continue the last one, after a restart or from another peer, must not add units."""
    sent_sums: dict[int, int] = {}
    received_sums: dict[tuple[int, int], int] = {}
    messages = [gossip.encode([(7, 2.5)], sent_sums=sent_sums) for _ in range(120)]  # enough for the sum to wrap at 256
    uses = [gossip.decode(message, 1, received_sums)[0] for message in (messages[0], messages[2], *messages[3:])]
    assert [units for use in uses for _, units in use] == [2.5, 5.0] + [2.5] * 117
    assert gossip.decode(messages[0], 2, received_sums)[0] == [(7, 2.5)]  # from another peer
    after_restart = gossip.encode([(7, 1.0)], sent_sums={})  # a restarted peer counts its sum anew
    assert gossip.decode(after_restart, 1, received_sums)[0] == [(7, 1.0)]
    assert gossip.decode(gossip.encode([(gossip.AGE_CODE, 3.0)], sent_sums=sent_sums), 1, received_sums)[0] == [
        (gossip.AGE_CODE, 3.0)
    ]
    for malformed in (b"", b"\x03", b"\x03\xff", b"\x02\x00", messages[0] + b"x", messages[0][:-1]):
        assert gossip.decode(malformed, 1, received_sums) == ([], [])
    packed = gossip.pack({code: 1.0 for code in range(1, 90)}, {code: 1 for code in range(60)}, {})
    assert len(packed[0]) <= 256 and len(packed[1]) == 89 and len(packed[2]) == 10


def test_gateways_that_started_together_fill_all_token_buckets() -> None:
    """Ages of all other gateways prove a common start; an older, missing or restarted one leaves the even share."""
    settings = replace(SETTINGS, plans=(Plan(rate=1, burst=8),), gateways=4, peers=True, peer_messages_per_s=100)
    for ages, first_level, second_level in (
        ((0.5, 0.5, 0.5), 7.5, 8.0),
        ((0.5, 0.5), 1.0, 2.0),
        ((0.5, 0.5, 4.0), 1.0, 2.0),
        ((9.0, 0.5, 0.5), 1.0, 2.0),
        ((9.0, 0.5, 0.5, 0.5), 1.0, 2.0),
    ):
        harness = GatewayHarness(settings)
        harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 4))  # takes one unit of an even share of two
        harness.now += 500.0
        for peer, age in enumerate(ages):
            harness.feed(PeerMessage(peer + 1, gossip.encode([(0, age)])))
        harness.feed(Arrival(2, 0, 0, "b", 3000, 1, 4))
        buckets = [harness.gateway.customers[customer].shared_bucket for customer in "ab"]
        assert buckets == [pytest.approx(first_level), pytest.approx(second_level - 1.0)], ages
    started_recently = GatewayHarness(settings)
    started_recently.now += 500.0
    (message,) = [a for a in started_recently.feed(Alarm(1)) if isinstance(a, Tell)]
    assert gossip.decode(message.content)[0] == [(0, 0.5)]
    started_recently.now += 5000.0
    assert not [a for a in started_recently.feed(Alarm(1)) if isinstance(a, Tell)]


def test_new_customer_starts_with_a_full_bucket_less_the_use_reported_by_peers() -> None:
    settings = replace(SETTINGS, plans=(Plan(rate=1, burst=8),), gateways=4, peers=True, peer_messages_per_s=100)
    for used, expected in ((0.0, 8.0), (5.0, 3.0), (50.0, 2.0)):  # never less than the even share
        harness = GatewayHarness(settings)
        harness.now += policy.USAGE_REPORT_TTL_MS + 1
        harness.feed(PeerMessage(1, gossip.encode([(zlib.crc32(b"a"), used)])))
        harness.submit(set_size=4)
        assert harness.gateway.customers["a"].shared_bucket == pytest.approx(expected - 1.0)
        assert not harness.gateway.unknown_use
    harness = GatewayHarness(settings)
    harness.submit(set_size=4)  # earlier reports may have been missed before this gateway started
    assert harness.gateway.customers["a"].shared_bucket == pytest.approx(1.0)


LARGE_FLEET = replace(SETTINGS, gateways=40, peers=True, peer_messages_per_s=100)
SIXTY_SERVERS = tuple(Server(f"s{n}") for n in range(60))


def test_large_fleet_reports_open_attempts_to_the_gateways_of_the_customer_only() -> None:
    """A broadcast would come too late, since attempts end within a few messages' time."""
    plans = Plan(rate=1, burst=4), Plan(rate=100, burst=100, max_open=4)
    harness = GatewayHarness(replace(LARGE_FLEET, position=2, plans=plans), SIXTY_SERVERS)

    def targeted_reports(actions: list[Action]) -> list[tuple[tuple[int, ...], object]]:
        return [(a.to, gossip.decode(a.content)) for a in actions if isinstance(a, Tell)]

    first = harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 5, set_first=39))
    assert send_actions(first) and not targeted_reports(first)  # without a cap the next broadcast is soon enough
    wrapped = harness.feed(Arrival(3, 0, 1, "c", 3000, 1, 5, set_first=39))
    assert targeted_reports(wrapped) == [((39, 0, 1, 3), ([(zlib.crc32(b"c"), 1.0)], [(zlib.crc32(b"c"), 1)]))]
    capped = harness.feed(Arrival(4, 0, 1, "b", 3000, 1, 3, set_first=1))
    code = zlib.crc32(b"b")
    assert targeted_reports(capped) == [((1, 3), ([(code, 1.0)], [(code, 1)]))]
    ended = harness.report_outcome(send_actions(capped)[0], Ending.OK)
    assert targeted_reports(ended) == [((1, 3), ([(code, 0.0)], [(code, 0)]))]


def test_targeted_messages_stay_within_the_peer_message_limit_and_the_rest_is_broadcast() -> None:
    harness = GatewayHarness(replace(LARGE_FLEET, plans=(Plan(rate=100, burst=1000),)), SIXTY_SERVERS)
    harness.submit(set_size=11)
    gateway, code = harness.gateway, zlib.crc32(b"a")
    gateway.actions.clear()
    for _ in range(9):
        gateway.unsent_units[code] = 2.0
        gateway.send_to_customer_gateways(gateway.customers["a"])
    messages = [a for a in gateway.actions if isinstance(a, Tell)]
    # The budget of one second is 75 messages: they are used as far as whole sets of gateways fit in.
    assert sum(len(message.to) for message in messages) <= 75 < sum(len(message.to) for message in messages) + 11
    harness.now += 3000
    rest = [a for a in harness.feed(Alarm(1)) if isinstance(a, Tell)]
    assert [(a.to, gossip.decode(a.content)) for a in rest] == [((), ([(code, 2.0)], []))]


def test_large_fleet_admits_a_new_customer_up_to_its_burst_less_reported_use() -> None:
    plans = (Plan(rate=0.4, burst=2),)
    # An even share would be 0.07 of a request.
    assert isinstance(GatewayHarness(replace(LARGE_FLEET, plans=plans)).submit(set_size=30), Send)
    for used, age_ms, admitted in ((1.0, 0, True), (2.0, 0, False), (2.0, 3000, True), (2.0, 2000, False)):
        harness = GatewayHarness(replace(LARGE_FLEET, plans=plans))
        harness.feed(PeerMessage(3, gossip.encode([(zlib.crc32(b"a"), used)])))
        harness.now += age_ms
        assert isinstance(harness.submit(set_size=30), Send) == admitted


def test_open_attempts_of_peers_count_until_their_next_report_is_overdue() -> None:
    harness = GatewayHarness(replace(LARGE_FLEET, plans=(Plan(rate=100, burst=100, max_open=4),)))
    customer = harness.add_customer("a")
    harness.now += 3500
    for sender in (3, 4, 5):
        harness.feed(PeerMessage(sender, gossip.encode([], [(zlib.crc32(b"a"), 1)])))
    for elapsed_ms, full in (
        (0.0, True),
        (1.9 * harness.gateway.gossip_interval_ms, True),
        (0.2 * harness.gateway.gossip_interval_ms, False),
    ):
        harness.now += elapsed_ms
        harness.gateway.now = harness.gateway.peer_message_at = harness.now
        assert harness.gateway.is_attempt_limit_likely_reached(customer) == full


def test_idle_gateway_keeps_its_initial_admission_rate() -> None:
    """The few requests that a new gateway has admitted must not bound its rate."""
    harness = GatewayHarness(LARGE_FLEET, SIXTY_SERVERS)
    initial_rate = harness.gateway.admission_rate
    assert initial_rate == pytest.approx(policy.LIMIT_START * 60 / 40)
    for _ in range(3):
        harness.now += 1000
        harness.feed(Alarm(0))
        assert harness.gateway.admission_rate == pytest.approx(initial_rate)


def test_server_without_recent_report_is_assumed_to_have_average_load_and_a_cold_one_none() -> None:
    def chosen_servers(cold: bool) -> set[str]:
        since_ms = 1e6 if cold else 0.0
        harness = GatewayHarness(SETTINGS, (Server("reported"), Server("unreported", since_ms=since_ms)))
        gateway = harness.gateway
        gateway.mean_load, gateway.warm_rate = 8.0, 1000.0
        reported, unreported = gateway.servers["reported"], gateway.servers["unreported"]
        reported.other_load, reported.reported_at, unreported.cold_tokens = 4.0, harness.now, 1.0
        reported.last_sent_at = unreported.last_sent_at = 1.0
        picked = harness.submit()
        assert isinstance(picked, Send)
        return {picked.server}

    assert chosen_servers(cold=False) == {"reported"} and chosen_servers(cold=True) == {"unreported"}


def test_load_reports_update_the_mean_load() -> None:
    harness = GatewayHarness()
    send = harness.submit()
    assert isinstance(send, Send)
    harness.feed(Outcome(send.request, 0, send.server, Ending.OK, 50, True, report={"rif": 11.0}))
    assert harness.gateway.mean_load == pytest.approx(policy.FLEET_EWMA_WEIGHT * 11.0)


def test_draining_servers_do_not_lower_the_warm_rate() -> None:
    servers = Server("a"), Server("b", phase="cordoned"), Server("c", phase="cordoned")
    harness = GatewayHarness(servers=servers)
    harness.gateway.warm_sends = 5.0
    harness.feed(Alarm(0))
    assert harness.gateway.warm_rate == pytest.approx(0.2 * 5.0)


def test_missing_connection_adds_the_handshake_price_to_the_cost() -> None:
    for handshake_price, uses_unconnected in ((0.0, True), (0.08, False)):
        harness = GatewayHarness(replace(SETTINGS, handshake_price=handshake_price), SIXTY_SERVERS)
        for server_state in harness.gateway.servers.values():
            server_state.last_sent_at = float(server_state.server.address == "s0")
        harness.gateway.servers["s0"].other_load, harness.gateway.servers["s0"].reported_at = 0.5, harness.now
        harness.gateway.healthy_servers = [harness.gateway.servers["s0"], harness.gateway.servers["s1"]]
        picked = harness.submit()
        assert isinstance(picked, Send) and (picked.server == "s1") == uses_unconnected


def test_concurrency_cap_counts_as_full_above_the_accepted_risk() -> None:
    harness = GatewayHarness(replace(LARGE_FLEET, plans=(Plan(rate=100, burst=100, max_open=4),)), SIXTY_SERVERS)
    customer = harness.add_customer("a")
    harness.gateway.now = harness.now = harness.now + 3500
    harness.gateway.peer_message_at = harness.now
    customer.open_attempts = 3
    for peer_rate, full in ((2.0, False), (5.0, True)):  # the chance that peers have started one since: 6% and 14%
        customer.others_rate = peer_rate
        assert harness.gateway.is_attempt_limit_likely_reached(customer) == full


def test_fleet_counts_as_slow_above_a_median_of_two_fifths_of_the_target_latency() -> None:
    for lateness, slow in ((0.3, False), (0.5, True)):
        harness = GatewayHarness()
        harness.gateway.normalized_latencies = [lateness] * 9
        harness.feed(Alarm(0))
        assert harness.gateway.all_slow == slow


def test_new_gateway_of_a_large_fleet_admits_by_its_own_estimate_until_reports_are_overdue() -> None:
    harness = GatewayHarness(replace(LARGE_FLEET, plans=(Plan(rate=0.4, burst=3),)), SIXTY_SERVERS)
    for _ in range(2):
        assert isinstance(harness.submit(set_size=30), Send)
        harness.now += 100
    harness.now += policy.USAGE_REPORT_TTL_MS
    assert isinstance(harness.submit(set_size=30), Refuse)  # without any peer message only the even share is safe


def counter_amounts(actions: list[Action]) -> list[float]:
    return [a.amount for a in actions if isinstance(a, CounterAdd)]


def test_large_fleet_uses_the_counter_for_rates_and_peers_for_concurrency_caps() -> None:
    plans = Plan(rate=1, burst=4), Plan(rate=100, burst=100, max_open=4)
    harness = GatewayHarness(replace(LARGE_FLEET, counter=True, counter_wait_ms=80, plans=plans), SIXTY_SERVERS)
    pending = harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 30))
    assert counter_amounts(pending) == [1.0] and not send_actions(pending)
    harness.gateway.customers["a"].others_rate = 0.0
    name = next(a.name for a in pending if isinstance(a, CounterAdd))
    assert send_actions(harness.feed(CounterReply(name, Ending.OK, 1.0)))
    harness.now += 10
    harness.feed(Arrival(5, 0, 0, "a", 3000, 1, 30))
    assert send_actions(harness.feed(CounterReply(name, Ending.OK, 3.0)))  # includes a unit of another gateway
    assert harness.gateway.customers["a"].others_rate == 0.0  # peers report that unit: it must not count twice
    assert send_actions(harness.feed(Arrival(2, 0, 1, "b", 3000, 1, 10))) and not harness.gateway.pending_calls


def test_large_fleet_makes_no_counter_call_for_an_empty_bucket_and_returns_refused_units() -> None:
    harness = GatewayHarness(
        replace(LARGE_FLEET, counter=True, counter_wait_ms=80, plans=(Plan(rate=1, burst=4),)), SIXTY_SERVERS
    )
    pending = harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 30))
    name = next(a.name for a in pending if isinstance(a, CounterAdd))
    level = 4 + harness.now % policy.COUNTER_NAME_TTL_MS / 1000  # largest total that this counter name may have by now
    harness.gateway.counter_sampling_share = 0.9  # units are returned at once even while calls are sampled
    refused = harness.feed(CounterReply(name, Ending.OK, level + 1.0))
    assert isinstance(final_answers(refused)[0], Refuse) and counter_amounts(refused) == [-1.0]
    harness.gateway.counter_sampling_share = 1.0
    second = harness.feed(Arrival(2, 0, 0, "a", 3000, 1, 30))
    assert isinstance(final_answers(second)[0], Refuse) and not counter_amounts(second)
    harness.now += 1100
    assert counter_amounts(harness.feed(Arrival(3, 0, 0, "a", 3000, 1, 30))) == [1.0]


def test_large_fleet_makes_no_counter_call_for_a_request_refused_for_another_reason() -> None:
    harness = GatewayHarness(
        replace(LARGE_FLEET, counter=True, counter_wait_ms=80, plans=(Plan(rate=1, burst=4),)), SIXTY_SERVERS
    )
    harness.gateway.admit_tokens = harness.gateway.admission_rate = 0.0
    refused = harness.feed(Arrival(1, 0, 0, "a", 3000, 1, 30))
    assert isinstance(final_answers(refused)[0], Refuse) and not counter_amounts(refused)


def test_use_beyond_quota_takes_nothing_from_the_token_bucket() -> None:
    assert [spend(bucket, units) for bucket, units in ((3.5, 2), (0.9, 1), (2.5, 4), (0.0, 3))] == [1.5, 0.9, 0.5, 0.0]
    harness = GatewayHarness(replace(LARGE_FLEET, plans=(Plan(rate=0.001, burst=2),)), SIXTY_SERVERS)
    customer = harness.add_customer("a")
    for reported, expected in ((0.5, 0.5), (1.0, 0.5), (1.0, 0.5)):
        harness.feed(PeerMessage(3, gossip.encode([(customer.code, reported)])))
        assert customer.shared_bucket == pytest.approx(expected)


def test_reports_of_an_unknown_customer_expire() -> None:
    harness, code = GatewayHarness(LARGE_FLEET, SIXTY_SERVERS), zlib.crc32(b"never here")
    for _ in range(60):
        harness.feed(PeerMessage(3, gossip.encode([(code, 1.0)])))
        harness.now += 1000
        harness.feed(Alarm(0))
    assert len(harness.gateway.unknown_use[code]) <= policy.IDLE_CUSTOMER_TTL_MS / 1000
    harness.now += 2 * policy.IDLE_CUSTOMER_TTL_MS
    harness.feed(Alarm(0))
    assert not harness.gateway.unknown_use


def test_idle_customers_are_dropped() -> None:
    harness = GatewayHarness()
    for n in range(50):
        harness.complete(harness.submit(customer=f"c{n}"))
    assert len(harness.gateway.customers) == 50
    for _ in range(20):  # seconds
        harness.now += 1000
        harness.feed(Alarm(0))
    assert not harness.gateway.customers and not harness.gateway.by_code


def test_retries_do_not_leak_places_under_the_concurrency_cap() -> None:
    """A retry takes the place of the failed attempt: the count of open attempts must return to zero."""
    plan = Plan(rate=1000, burst=1000, max_open=2)
    harness = GatewayHarness(replace(SETTINGS, plans=(plan,), gateways=1))
    for _ in range(4):
        first = harness.submit(set_size=1)
        assert isinstance(first, Send)
        (second,) = send_actions(harness.report_outcome(first, Ending.ERROR))
        harness.report_outcome(second, Ending.OK, attempt=1)
    assert harness.gateway.customers["a"].open_attempts == 0
    assert isinstance(harness.submit(set_size=1), Send) and isinstance(harness.submit(set_size=1), Send)
    assert harness.submit(set_size=1) is WAITING


def test_no_counter_call_for_a_request_that_cannot_wait_for_the_reply() -> None:
    harness = GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
    assert any(isinstance(a, Send) for a in harness.feed(Arrival(1, 0, 1, "a", 100, 1, 2)))


def test_counter_that_times_out_is_called_less_and_requests_are_still_served() -> None:
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


def test_requests_are_refused_immediately_when_all_servers_are_at_their_limit() -> None:
    harness = GatewayHarness()
    answers = [harness.submit() for _ in range(40)]
    assert sum(isinstance(a, Send) for a in answers) <= 3 * policy.LIMIT_START
    assert all(isinstance(a, Send | Refuse) for a in answers)


@pytest.mark.parametrize("malformed", [b"", b"\x01", b"\xff" * 40, b"\x01\x02\x03\x00\x09" + b"\x00" * 7])
def test_malformed_peer_messages_are_ignored(malformed: bytes) -> None:
    harness = GatewayHarness(replace(SETTINGS, peers=True))
    assert harness.feed(PeerMessage(1, malformed)) == []
    assert isinstance(harness.submit(), Send)


def test_server_that_fails_one_class_is_avoided_for_that_class_only() -> None:
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


def test_latency_measured_across_a_gateway_stall_is_ignored() -> None:
    """The interval timer is overdue: this process did not run for a while, so the latency is not the server's."""
    harness = GatewayHarness()
    harness.feed(Alarm(0))
    send = harness.submit()
    assert isinstance(send, Send)
    harness.now += 2500
    harness.report_outcome(send, Ending.OK, latency_ms=2500)
    assert harness.gateway.servers[send.server].slowness == 1.0 and not harness.gateway.normalized_latencies


def test_customer_that_drives_load_pressure_is_flagged_and_others_are_not() -> None:
    pressure = [1.0 + (n % 5) for n in range(policy.CORRELATION_WINDOW)]
    assert is_flagged(deque((10.0 * p, p) for p in pressure))
    assert not is_flagged(deque((100.0 - 10.0 * p, p) for p in pressure))
    assert not is_flagged(deque((float(n % 2), p) for n, p in enumerate(pressure)))


def test_constant_samples_give_no_flag() -> None:
    assert not is_flagged(deque((7.0, float(n)) for n in range(policy.CORRELATION_WINDOW)))
    assert t_statistic([(float(n), 7.0) for n in range(policy.CORRELATION_WINDOW)]) == 0.0


@pytest.mark.parametrize(("n", "critical_value"), [(8, 2.447), (12, 2.228), (30, 2.048)])
def test_critical_values_match_students_t_distribution(n: int, critical_value: float) -> None:
    assert critical_t(policy.NORMAL_QUANTILE, n) == pytest.approx(critical_value, rel=0.02)


def run_overload(harness: GatewayHarness, intervals: int) -> tuple[int, int]:
    """Cause overload by one customer's bursts; return the refusals of this customer and of a quiet one."""
    refused = [0, 0]
    for n in range(intervals):
        harness.now += 1000
        is_burst = n % 3 == 0
        for customer, count in (("heavy", 60 if is_burst else 6), ("quiet", 2)):
            for _ in range(count):
                action = harness.submit(plan=0 if customer == "quiet" else 3, customer=customer)
                refused[customer == "quiet"] += isinstance(action, Refuse)
                if isinstance(action, Send):
                    harness.report_outcome(action, Ending.OK, latency_ms=1900 if is_burst else 1100)
        harness.feed(Alarm(0))
    return refused[0], refused[1]


def test_throttle_applies_to_the_overloading_customer_only_and_is_lifted() -> None:
    settings = replace(SETTINGS, plans=SETTINGS.plans + (Plan(rate=15, burst=1000),))
    harness = GatewayHarness(settings)
    heavy, quiet = run_overload(harness, 20)
    assert heavy > 0 and quiet == 0
    for _ in range(3):
        harness.now += 1000
        harness.complete(harness.submit(customer="quiet"))
        harness.feed(Alarm(0))
    assert not harness.gateway.overloaded
    assert all(c.throttle_rate == 0 for c in harness.gateway.customers.values())


def test_same_events_give_same_actions_also_when_gateways_are_interleaved() -> None:
    def run(harnesses: list[GatewayHarness]) -> list[list[str]]:
        actions: list[list[str]] = [[] for _ in harnesses]
        for n in range(200):
            for index, harness in enumerate(harnesses):
                harness.now += 13
                action = harness.submit(request_class=n % 3, plan=n % 3, customer=f"c{n % 7}")
                actions[index].append(repr(action))
                harness.complete(action)
        return actions

    alone = run([GatewayHarness()])[0]
    assert run([GatewayHarness(), GatewayHarness()]) == [alone, alone]


def test_memory_stays_bounded_with_a_stream_of_new_customers() -> None:
    harness = GatewayHarness()
    for n in range(4000):
        harness.now += 100
        harness.complete(harness.submit(customer=f"new-{n}"))
        if n % 10 == 0:
            harness.feed(Alarm(0))
    assert len(harness.gateway.customers) < 1000
    assert len(harness.gateway.tracked_customers) <= policy.MAX_TRACKED_CUSTOMERS
    assert not harness.gateway.in_flight


@pytest.mark.parametrize("change", [{"gateways": 0}, {"classes": ()}, {"plans": (Plan(rate=-1, burst=1),)}])
def test_invalid_settings_are_rejected_with_the_field_name(change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(change))):
        replace(SETTINGS, **change)


def test_sampled_counter_calls_stand_for_all_requests() -> None:
    harness = GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
    harness.gateway.counter_sampling_share = 0.5
    added, calls = 0.0, 0
    for n in range(400):
        harness.now += 1000
        actions = harness.feed(Arrival(n, 0, 0, f"c{n}", 3000, 1, 2))
        for add in (a for a in actions if isinstance(a, CounterAdd)):
            added, calls = added + add.amount, calls + 1
            harness.gateway.counter_sampling_share = 0.5
            harness.feed(CounterReply(add.name, Ending.OK, add.amount))
            harness.gateway.counter_sampling_share = 0.5
    assert 150 < calls < 250 and added == 2 * calls


def test_customer_of_hundreds_of_gateways_is_admitted_at_each() -> None:
    for settings in (replace(SETTINGS, meter_ms=1000), replace(SETTINGS, counter=True, counter_wait_ms=80)):
        for n in range(20):
            harness = GatewayHarness(settings)
            harness.now += 10000 * n
            actions = harness.feed(Arrival(1, 0, 1, "a", 3000, 1, 200))
            for add in (a for a in actions if isinstance(a, CounterAdd)):
                actions = harness.feed(CounterReply(add.name, Ending.OK, add.amount))
            assert send_actions(actions)


def test_hundreds_of_gateways_do_not_overload_a_cold_server() -> None:
    settings, sent = replace(SETTINGS, gateways=400), 0
    for seed in range(400):
        harness = GatewayHarness(settings)
        harness.gateway.random.seed(seed)
        harness.feed(ServerList("delta", (Server("cold", since_ms=harness.now),)))
        for _ in range(10):
            harness.now += 100
            action = harness.submit()
            sent += isinstance(action, Send) and action.server == "cold"
            harness.complete(action)
    assert sent <= 4


@pytest.mark.parametrize("gateways", [1, 3, 20, 30, 200])
@pytest.mark.parametrize("traffic", ["steady", "uneven", "burst"])
def test_all_gateways_together_stay_within_the_capacity_of_a_cold_server(gateways: int, traffic: str) -> None:
    """In any window of ``fall_ms`` all gateways send at most N + 2 sqrt(N) + 2, N being what the settings allow.

    N is based on the rate that a warm server serves now, which its capacity is never below. In a burst the gateways
    have nothing to send for 4 s and then all send at once. Without bursts at least a quarter of N must be used.
    """
    warm_rate = 12.0  # attempts/s
    for server_index in range(12):
        address, sent = f"10.0.0.{server_index}:80", []
        shares = [1.0 + 9.0 * (traffic == "uneven" and index % 7 == server_index % 7) for index in range(gateways)]
        server_states = []
        for index in range(gateways):
            settings = replace(SETTINGS, gateways=gateways, position=index)
            server_state = ServerState(Server(address), 12.0, initial_cold_allowance(address, settings), 0.0)
            server_state.cold_since = 0.0
            server_states.append((server_state, settings, warm_rate * shares[index] / sum(shares)))
        for step in range(1, 500):
            now = step * 20.0
            for index, (server_state, settings, rate) in enumerate(server_states):
                if traffic == "burst" and now % 5000.0 < 4000.0:
                    continue
                # Each gateway has a request in a pseudo-random share of the steps, at up to ten times its rate.
                if traffic != "burst" and (step * 7919 + index * 104729) % 997 >= 997 * min(1.0, 10.0 * rate * 0.02):
                    continue
                if cold_start_share(server_state, now, settings, rate) > 0.0:
                    server_state.cold_tokens -= 1.0
                    sent.append(now)
        window_ms, used = SETTINGS.fall_ms, 0.0
        for start_index, window_start in enumerate(sent):
            ramp = SETTINGS.cold_from + (1.0 - SETTINGS.cold_from) * window_start / SETTINGS.cold_ms
            allowed = SETTINGS.overload_factor * ramp * warm_rate * window_ms / 1000.0
            in_window = sum(window_start <= sent_at < window_start + window_ms for sent_at in sent[start_index:])
            assert in_window <= allowed + 2.0 * allowed**0.5 + 2.0, (server_index, window_start, in_window, allowed)
            used += 1.0 / allowed
        assert traffic == "burst" or used >= 2.5, (server_index, used)  # of 10 windows, if all were used in full


def test_units_are_returned_only_if_the_request_never_reached_a_server() -> None:
    def remaining(*endings: Ending) -> tuple[float, float, float]:
        harness = GatewayHarness(replace(SETTINGS, peers=True, peer_messages_per_s=100), servers=THREE_SERVERS[:1])
        harness.now += 4000.0  # until the ceiling's bucket has filled
        send = harness.submit(plan=2)
        assert isinstance(send, Send)
        for attempt, ending in enumerate(endings):
            harness.report_outcome(send, ending, attempt, finished=attempt == len(endings) - 1)
        customer = harness.gateway.customers["a"]
        return customer.shared_bucket, customer.ceiling_bucket, harness.gateway.unsent_units.get(customer.code, 0.0)

    returned, kept = remaining(Ending.MOOT), remaining(Ending.ERROR)
    assert returned == (kept[0] + 1.0, kept[1] + 1.0, 0.0) and kept[2] == 1.0
    assert remaining(Ending.CONNECT_FAILED) == kept  # the platform's meter may have counted it


def test_units_granted_to_a_disconnected_client_are_returned_with_the_next_counter_call() -> None:
    for disconnects_first in (True, False):
        harness = GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
        harness.last_request += 1
        first = next(
            a for a in harness.feed(Arrival(harness.last_request, 0, 1, "a", 3000)) if isinstance(a, CounterAdd)
        )
        if disconnects_first:
            harness.feed(ClientGone(harness.last_request))
        actions = harness.feed(CounterReply(first.name, Ending.OK, first.amount))
        if not disconnects_first:
            (send,) = send_actions(actions)
            harness.feed(ClientGone(harness.last_request))
            harness.report_outcome(send, Ending.MOOT, finished=True)
        assert harness.gateway.customers["a"].counter_correction == -first.amount
        assert not harness.gateway.in_flight


def test_retry_after_a_possible_run_has_a_write_deadline() -> None:
    harness = GatewayHarness()
    send = harness.submit(request_class=1)
    assert isinstance(send, Send) and send.write_by == math.inf
    started_at = harness.now
    harness.now += 100.0
    (second,) = send_actions(harness.report_outcome(send, Ending.ERROR))
    assert second.write_by == pytest.approx(started_at + policy.WINDOW_MARGIN * 2000.0)
    (third,) = send_actions(harness.report_outcome(second, Ending.FULL, 1))
    assert third.write_by == second.write_by  # counted from the first attempt, which may have run
    send = harness.submit(request_class=0)
    assert isinstance(send, Send)
    (second,) = send_actions(harness.report_outcome(send, Ending.ERROR))
    assert second.write_by == math.inf


def test_silent_server_with_open_attempts_gets_no_new_ones() -> None:
    harness = GatewayHarness(servers=THREE_SERVERS[:2])
    first = harness.submit()
    assert isinstance(first, Send)
    harness.now += 400
    harness.gateway.servers[first.server].last_sent_at = harness.now
    harness.now += 200
    for _ in range(3):
        action = harness.submit()
        assert isinstance(action, Send) and action.server != first.server
        harness.complete(action)


def test_stuck_attempt_does_not_exclude_its_server() -> None:
    harness = GatewayHarness(servers=THREE_SERVERS[:1])
    assert isinstance(harness.submit(request_class=2), Send)
    harness.now += 600
    assert isinstance(harness.submit(), Send)
    assert isinstance(harness.submit(), Refuse)


def test_concurrency_limits_do_not_grow_while_unused() -> None:
    harness = GatewayHarness()
    for _ in range(500):
        harness.complete(harness.submit())
        harness.now += 10
    assert all(server_state.limit < 2 * policy.LIMIT_START for server_state in harness.gateway.servers.values())


def test_periodic_messages_stay_within_the_peer_message_limit() -> None:
    for gateways in (3, 12):
        harness = GatewayHarness(replace(SETTINGS, peers=True, peer_messages_per_s=60, gateways=gateways))
        timer = next(a for a in harness.feed(Alarm(1)) if isinstance(a, SetTimer))
        assert (gateways - 1) * 1000 / timer.after_ms < 60


def test_no_attempt_just_before_the_deadline_whatever_latency_was_learned() -> None:
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
    assert not send_actions(actions) and len(final_answers(actions)) == 1


def test_hundreds_of_gateways_hold_one_ceiling_from_the_start_and_across_restarts() -> None:
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
            harness.complete(action)
    assert sent <= plan.ceiling_burst + 6 * plan.ceiling_rate + plan.ceiling_slack


def test_admitted_share_reported_by_a_peer_applies_to_a_customer_not_yet_seen() -> None:
    settings = replace(SETTINGS, peers=True, peer_messages_per_s=60, gateways=200)
    settings = replace(settings, counter=True, counter_wait_ms=80)
    reporter, receiver = GatewayHarness(settings), GatewayHarness(settings)
    reporter.gateway.counter_sampling_share = 1.0
    for n in range(1, 4):
        add = next(a for a in reporter.feed(Arrival(n, 0, 1, "a", 3000, 1, 200)) if isinstance(a, CounterAdd))
        reporter.feed(CounterReply(add.name, Ending.OK, 1000.0))
        reporter.feed(CounterReply(add.name, Ending.OK, 999.0))
    message = next(a for a in reporter.feed(Alarm(1)) if isinstance(a, Tell))
    receiver.feed(PeerMessage(1, message.content))
    receiver.gateway.counter_sampling_share = 0.0
    assert isinstance(receiver.submit(plan=1, set_size=200), Refuse)
    assert isinstance(receiver.submit(plan=1, customer="b", set_size=200), Send)


def run_one_second(harness: GatewayHarness, requests: int, latency_ms: float) -> int:
    """Submit requests during one second, each answered after the given latency; return how many were admitted."""
    admitted = 0
    for _ in range(requests):
        harness.now += 1000 / requests
        action = harness.submit()
        if isinstance(action, Send):
            admitted += 1
            harness.report_outcome(action, Ending.OK, latency_ms=latency_ms)
    harness.feed(Alarm(0))
    return admitted


def test_slow_fleet_sheds_demand_and_recovers() -> None:
    harness = GatewayHarness(replace(SETTINGS, gateways=200))
    for latency_ms, least, most in ((50, 10, 10), (600, 0, 2), (50, 10, 10)):
        for _ in range(24):
            admitted = run_one_second(harness, 10, latency_ms)
        assert least <= admitted <= most


def test_multiplied_requests_do_not_multiply_admissions() -> None:
    harness = GatewayHarness(replace(SETTINGS, gateways=200))
    for _ in range(10):
        run_one_second(harness, 10, 50)
    assert run_one_second(harness, 200, 50) <= 40


def test_open_attempts_limit_admission_before_any_answer_arrives() -> None:
    """By Little's law too many open attempts show a slow fleet before the first latency is measured."""
    harness = GatewayHarness(replace(SETTINGS, gateways=200), servers=tuple(Server(f"s{n}") for n in range(40)))
    harness.gateway.admission_rate = 5.0
    sent = 0
    for _ in range(40):
        harness.now += 50
        sent += isinstance(harness.submit(), Send)
    assert 1 <= sent <= 3


def test_initial_admission_rate_matches_the_initial_concurrency_of_all_servers() -> None:
    harness = GatewayHarness(replace(SETTINGS, gateways=360))
    assert harness.gateway.admission_rate == policy.ADMISSION_RATE_MIN
    assert GatewayHarness(replace(SETTINGS, gateways=12)).gateway.admission_rate == policy.LIMIT_START * 3 / 12


def test_latency_of_cold_servers_does_not_count_as_fleet_latency() -> None:
    harness = GatewayHarness(servers=(Server("s0", since_ms=1e6 - 100),))
    harness.gateway.servers["s0"].cold_tokens = 1.0
    send = harness.submit()
    assert isinstance(send, Send)
    harness.report_outcome(send, Ending.OK, latency_ms=900)
    assert harness.gateway.normalized_latencies == []


def receive_counter_total(
    total: float, harness: GatewayHarness | None = None
) -> tuple[GatewayHarness, list[CounterAdd]]:
    """Submit a request whose counter call returns ``total``; return the harness and the counter calls that follow."""
    harness = harness or GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
    harness.last_request += 1
    first = next(a for a in harness.feed(Arrival(harness.last_request, 0, 1, "a", 3000)) if isinstance(a, CounterAdd))
    actions = harness.feed(CounterReply(first.name, Ending.OK, total))
    return harness, [a for a in actions if isinstance(a, CounterAdd)]


def test_units_refused_by_the_counter_bucket_are_returned_immediately() -> None:
    _, adds = receive_counter_total(1000.0)
    assert [a.amount for a in adds] == [-1.0]


def test_counter_bucket_discards_tokens_beyond_its_burst() -> None:
    harness = GatewayHarness(
        replace(SETTINGS, counter=True, counter_wait_ms=80), now=50 * policy.COUNTER_NAME_TTL_MS + 10000
    )
    _, adds = receive_counter_total(1.0, harness)
    assert [a.amount for a in adds] == [20.0]  # 10 s at 2 units/s


def test_duplicate_counter_correction_is_reverted() -> None:
    """Another gateway has made the same correction: the total contains it twice."""
    harness = GatewayHarness(
        replace(SETTINGS, counter=True, counter_wait_ms=80), now=50 * policy.COUNTER_NAME_TTL_MS + 10000
    )
    _, adds = receive_counter_total(1.0, harness)
    reverts = harness.feed(CounterReply(adds[0].name, Ending.OK, 41.0))
    assert [a.amount for a in reverts if isinstance(a, CounterAdd)] == [-20.0]


def test_new_counter_name_does_not_grant_a_new_burst() -> None:
    harness = GatewayHarness(
        replace(SETTINGS, counter=True, counter_wait_ms=80), now=51 * policy.COUNTER_NAME_TTL_MS - 100
    )
    _, adds = receive_counter_total(4.0 + 2 * (policy.COUNTER_NAME_TTL_MS - 100) / 1000, harness)
    assert not adds
    harness.feed(CounterReply(0, Ending.OK, 0.0))
    harness.now += 200
    _, adds = receive_counter_total(1.0, harness)
    assert [round(a.amount, 1) for a in adds] == [2.8]  # what the old bucket lacked, less the refused request


def test_simultaneous_counter_timeouts_reduce_the_sampling_share_once() -> None:
    harness = GatewayHarness(replace(SETTINGS, counter=True, counter_wait_ms=80))
    adds = [a for n in range(1, 9) for a in harness.feed(Arrival(n, 0, 0, f"c{n}", 3000))]
    names = [a.name for a in adds if isinstance(a, CounterAdd)]
    harness.now += 80
    for name in names:
        harness.feed(CounterReply(name, Ending.TIMEOUT))
    assert harness.gateway.counter_sampling_share == policy.COUNTER_SAMPLING_CUT


def test_one_overdue_request_only_halves_the_health_of_its_server() -> None:
    harness = GatewayHarness(servers=THREE_SERVERS[:1])
    send = harness.submit()
    assert isinstance(send, Send)
    harness.now += 600
    harness.feed(Alarm(send.request + policy.FIRST_REQUEST_TOKEN))
    success_chance, _ = harness.gateway.servers["s0"].health[0]
    assert success_chance == 0.5


def test_overdue_request_counts_as_slow_immediately_and_only_once() -> None:
    harness = GatewayHarness()
    send = harness.submit()
    assert isinstance(send, Send)
    harness.now += 600
    harness.feed(Alarm(send.request + policy.FIRST_REQUEST_TOKEN))
    assert harness.gateway.normalized_latencies == [0.6]
    harness.report_outcome(send, Ending.OK, latency_ms=900)
    assert harness.gateway.normalized_latencies == [0.6]
