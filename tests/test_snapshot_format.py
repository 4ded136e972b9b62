"""Guards the format of stored snapshots against renamed or reordered fields.

At an upgrade a newer version reads the snapshot of an older one. The fingerprint hashes the repr of plans and classes,
and records are stored as lists without names: a changed name there, or a changed order here, would make the newer
version refuse the snapshot or read a value as another. The number and the data below were written by format version 1,
for a gateway whose attributes had been set to numbers that tell them apart.
"""

from __future__ import annotations

import copy
import math
from typing import Any

from petrelhall.decide import snapshot
from petrelhall.decide.interface import Effect, Plan, RequestClass, Server, ServerList, Settings, Started
from petrelhall.decide.policy import Gateway

FINGERPRINT = 633463779
SETTINGS = Settings(
    classes=(
        RequestClass(
            Effect.KEYED,
            aim_ms=1000.0,
            deadline_ms=3000.0,
            worth=2.0,
            late_worth=0.1,
            group="zone",
            window_ms=2000.0,
            streamed=True,
        ),
        RequestClass(Effect.REPEATABLE, aim_ms=500.0, deadline_ms=1500.0),
        RequestClass(Effect.ONCE, aim_ms=800.0, deadline_ms=2500.0),
    ),
    plans=(
        Plan(
            rate=100.0,
            burst=200.0,
            max_open=4,
            price=2.0,
            over_worth=0.5,
            over_cost=0.25,
            ceiling_rate=300.0,
            ceiling_burst=600.0,
            ceiling_slack=10.0,
        ),
        Plan(rate=2.0, burst=8.0),
    ),
    position=1,
    gateways=3,
)
STORED: dict[str, Any] = {
    "form": 1,
    "settings": FINGERPRINT,
    "at": 2000.0,
    "memory": [300.0, 301.0, 302.0, 303.0, None, 305.0, 306.0, 307.0, 1e300, 309.0, 310.0, 311.0],
    "latency": [200.0, 100.0, 160.0],
    "faults": [0.1, 0.0, 0.3],
    "waits": [0.2, 0.4],
    "customers": {
        "alice": [
            *[0, 2, 1, 102.0, 103.0, 104.0, 105.0, 106.0, 107.0, 108.0, 109.0, 110.0, 111.0, 112.0, 113.0, 114.0],
            *[None, 116.0, 117.0, True, 77, 1, [[2, 3.0, 1900.0]]],
        ],
        "bob": [
            *[1, 2, 0, 2000.0, -1000.0, 2000.0, 3.0, 7.0, 0.0, 0.5, -1.0, 1 / 3, 1 / 3, 0.0, 0.0, 0.0],
            *[None, 0.0, -1.0, False, -1, 1, []],
        ],
    },
    "strangers": {"123": [[1800.0, 2.5]]},
    "shares": {"456": 40.0},
    "links": {
        "10.0.0.1:80": [
            *[200.0, 201.0, 202.0, 203.0, 204.0, 205.0, 206.0, 207.0, 208.0, 209.0, 210.0, 211.0, 212.0, 213.0],
            *[3, [[1, 0.25, 1950.0]]],
        ],
        "10.0.0.2:80": [
            *[4.0, 0.01171335345134139, 1000.0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0, 2000.0, 2000.0, 0.0, 0.0, None],
            *[0, []],
        ],
    },
}


def restored() -> tuple[Gateway, tuple[list[float], list[float]]]:
    """Return a gateway that has loaded the stored snapshot at 2500 ms, and what ``restore`` returned."""
    gateway = Gateway(SETTINGS, 7)
    gateway.handle(2400.0, Started())
    gateway.handle(2400.0, ServerList("full", (Server("10.0.0.1:80"), Server("10.0.0.2:80"))))
    return gateway, snapshot.restore(gateway, SETTINGS, copy.deepcopy(STORED), 2500.0)


def test_the_fingerprint_of_fixed_settings_is_that_of_version_1() -> None:
    assert snapshot.fingerprint(SETTINGS) == FINGERPRINT


def test_the_state_of_the_gateway_is_restored() -> None:
    gateway, returned = restored()
    assert returned == ([200.0, 100.0, 160.0], [0.1, 0.0, 0.3])
    assert (gateway.started, gateway.peer_message_at, gateway.counter_sampling_share) == (300.0, 301.0, 302.0)
    assert (gateway.counter_reply_at, gateway.counter_failure_at) == (303.0, -math.inf)
    assert (gateway.warm_rate, gateway.mean_load, gateway.retry_budget) == (305.0, 306.0, 307.0)
    assert (gateway.admission_rate, gateway.admit_tokens, gateway.admit_tokens_at) == (math.inf, 309.0, 310.0)
    assert gateway.avg_admitted == 311.0
    assert gateway.normalized_latencies == [0.2, 0.4]
    assert gateway.unknown_use == {123: [(1800.0, 2.5)]}
    assert gateway.admit_shares == {456: 40.0}


def test_customers_are_restored() -> None:
    gateway, _ = restored()
    assert set(gateway.customers) == {"alice", "bob"}
    alice, bob = gateway.customers["alice"], gateway.customers["bob"]
    assert gateway.by_code == {alice.code: alice, bob.code: bob}
    assert (alice.plan, bob.plan) == SETTINGS.plans
    assert (alice.set_size, alice.set_first, alice.even_share) == (2, 1, 0.5)
    assert (alice.seen_at, alice.others_reported_at, alice.refilled_at) == (102.0, 103.0, 104.0)
    assert (alice.bucket, alice.shared_bucket, alice.overflow) == (105.0, 106.0, 107.0)
    assert (alice.admit_share, alice.ceiling_bucket, alice.demand) == (108.0, 109.0, 110.0)
    assert (alice.sent_rate, alice.others_rate) == (111.0, 112.0)
    assert (alice.counter_total, alice.counter_level, alice.counter_level_at) == (113.0, 114.0, -math.inf)
    assert (alice.throttle_rate, alice.throttle_bucket) == (116.0, 117.0)
    assert (alice.use_known, alice.counter_total_name, alice.open_attempts) == (True, 77, 0)
    # The old process's open attempt counts as one of a peer, under this gateway's own position.
    assert alice.peer_open_attempts == {2: (3.0, 1900.0), 1: (1.0, 2500.0)}
    assert (bob.use_known, bob.counter_total_name, bob.peer_open_attempts) == (False, -1, {1: (1.0, 2500.0)})


def test_servers_are_restored() -> None:
    gateway, _ = restored()
    first, second = gateway.servers["10.0.0.1:80"], gateway.servers["10.0.0.2:80"]
    assert (first.limit, first.cold_tokens, first.cold_tokens_at, first.limit_cut_at) == (200.0, 201.0, 202.0, 203.0)
    assert (first.other_load, first.reported_at, first.slowness) == (204.0, 205.0, 206.0)
    assert (first.normalized_latency, first.measured_at, first.last_sent_at, first.answer_at) == (
        207.0,
        208.0,
        209.0,
        210.0,
    )
    assert (first.ejected_until, first.down_at, first.cold_since) == (211.0, 212.0, 213.0)
    assert (first.ejections, first.health, first.open_attempts) == (3, {1: (0.25, 1950.0)}, 0.0)
    assert (second.limit, second.cold_tokens, second.cold_since, second.health) == (4.0, 0.01171335345134139, None, {})


def test_a_restored_state_is_stored_in_the_same_form_again() -> None:
    gateway, (latency, faults) = restored()
    expected = copy.deepcopy(STORED)
    expected["at"] = 2400.0
    expected["starts"] = {}  # added later; an older version ignores it
    expected["customers"]["alice"][-2:] = [0, [[2, 3.0, 1900.0], [1, 1.0, 2500.0]]]
    expected["customers"]["bob"][-2:] = [0, [[1, 1.0, 2500.0]]]
    assert snapshot.take(gateway, SETTINGS, latency, faults) == expected
