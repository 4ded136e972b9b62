"""Handover of state from the serving process to a new one during an upgrade."""

from __future__ import annotations

import json
import os
import random
import tempfile
import threading
import time
import unittest
import unittest.mock
from dataclasses import replace
from typing import Any

import ujson

from petrelhall.control.handover import handed, letter, mark, marked
from petrelhall.decide import snapshot
from petrelhall.decide.interface import Alarm, Ending, PeerMessage, Plan, Refuse, Send
from petrelhall.gateway.handover import Handover
from petrelhall.net.loop import Loop
from tests.peers import WAIT_TIMEOUT_S
from tests.test_policy import SETTINGS, GatewayHarness, send_actions

PLANS = Plan(rate=2, burst=8, max_open=3), Plan(rate=100, burst=100, ceiling_rate=4, ceiling_burst=8)
PEERS = replace(SETTINGS, plans=PLANS, gateways=4, peers=True, peer_messages_per_s=100)


def transferred_snapshot(harness: GatewayHarness) -> Any:
    """Take a snapshot and pass it through the encoding of a handover file."""
    gateway = harness.gateway
    content = snapshot.take(
        gateway,
        gateway.settings,
        [gateway.latency_per_unit_ms[kind] for kind in gateway.settings.classes],
        gateway.failure_rates,
    )
    return handed(letter(7, content), 7)


class Snapshots(unittest.TestCase):
    """A gateway restored from another process's snapshot."""

    def used_gateway(self) -> GatewayHarness:
        """Return a gateway that has served for a while: a drained token bucket, one slow server and one that fails."""
        harness = GatewayHarness(PEERS)
        harness.now += 5000.0
        harness.feed(PeerMessage(1, b"\x02\x00"))
        for _ in range(6):
            send = harness.submit(set_size=4)
            if isinstance(send, Send):
                harness.report_outcome(
                    send, Ending.ERROR if send.server == "s1" else Ending.OK, latency_ms=900.0, finished=True
                )
        harness.feed(PeerMessage(1, b"\x02\x00"))
        return harness

    def test_restored_token_bucket_is_not_full_again(self) -> None:
        old, new = self.used_gateway(), GatewayHarness(PEERS)
        new.now = old.now + 20.0
        snapshot.restore(new.gateway, PEERS, transferred_snapshot(old), new.now)
        before, after = old.gateway.customers["a"], new.gateway.customers["a"]
        self.assertAlmostEqual(before.shared_bucket, after.shared_bucket)
        self.assertAlmostEqual(before.bucket, after.bucket)
        self.assertEqual(new.gateway.by_code[after.code], after)
        self.assertEqual(new.gateway.servers["s1"].health, old.gateway.servers["s1"].health)
        self.assertEqual(new.gateway.started, old.gateway.started)  # peers were received long enough to share a limit
        for _ in range(9):
            last = new.submit(set_size=4)
        self.assertIsInstance(last, Refuse)

    def test_open_attempts_of_the_old_process_count_as_those_of_a_peer(self) -> None:
        old, new = GatewayHarness(PEERS), GatewayHarness(PEERS)
        old.now = new.now = old.now + 5000.0
        for harness in (old, new):
            harness.feed(PeerMessage(1, b"\x02\x00"))
        attempts = [old.submit(set_size=1) for _ in range(2)]
        self.assertTrue(all(isinstance(send, Send) for send in attempts))
        snapshot.restore(new.gateway, PEERS, transferred_snapshot(old), new.now)
        self.assertIsInstance(new.submit(set_size=1), Send)
        self.assertNotIsInstance(new.submit(set_size=1), Send)  # max_open is three in all
        new.now += 1000.0  # the old process has finished them, or no longer reports them
        self.assertTrue(send_actions(new.feed(PeerMessage(1, b"\x02\x00"))) or isinstance(new.submit(set_size=1), Send))

    def spend_ceiling(self, *harnesses: GatewayHarness) -> float:
        """Submit requests of the plan with a ceiling until all are refused for it; returns the units sent."""
        units = 0.0
        for harness in harnesses:
            while isinstance(send := harness.submit(plan=1, customer="c", set_size=1), Send):
                harness.report_outcome(send, Ending.OK)
                units += 1.0
            self.assertEqual(send.cause if isinstance(send, Refuse) else "", "ceiling")
        return units

    # Guards against: in an upgrade both processes spend the gateway's one part of a customer's ceiling (review/9).
    def test_both_processes_of_an_upgrade_together_spend_one_part_of_a_ceiling(self) -> None:
        settings = replace(PEERS, gateways=1, peers=False)
        old, new = GatewayHarness(settings), GatewayHarness(settings)
        old.now += 60000.0
        old.report_outcome(old.submit(plan=1, customer="c", set_size=1), Ending.OK)  # type: ignore[arg-type]
        old.now += 60000.0
        new.now = old.now
        old.feed(Alarm(99))  # brings the time of the module up to date
        old.gateway.refill(old.gateway.customers["c"])
        old.gateway.give_away_ceilings()
        snapshot.restore(new.gateway, settings, transferred_snapshot(old), new.now)
        new.gateway.ceiling_part = old.gateway.ceiling_part
        self.assertLessEqual(self.spend_ceiling(old, new), PLANS[1].ceiling_burst)
        # From when the new process is ready, only that one fills its part, and all of it.
        old.gateway.fills_ceilings, new.gateway.ceiling_part = False, 1.0
        old.now = new.now = old.now + 1000.0
        self.assertEqual((self.spend_ceiling(old), self.spend_ceiling(new)), (0.0, PLANS[1].ceiling_rate))

    def test_an_overdrawn_ceiling_is_not_repaid_by_an_upgrade(self) -> None:
        harness = GatewayHarness(PEERS)
        customer = harness.add_customer("c")
        customer.ceiling_bucket = -2.0
        harness.gateway.give_away_ceilings()
        self.assertEqual(customer.ceiling_bucket, -2.0)

    def test_malformed_snapshot_or_one_of_other_settings_is_rejected_whole(self) -> None:
        good = transferred_snapshot(self.used_gateway())
        cases: list[Any] = [
            None,
            [],
            "x",
            {},
            {**good, "form": 2},
            {**good, "settings": 1},
            {**good, "latency": [1.0]},
            {**good, "customers": {"a": [9] + good["customers"]["a"][1:]}},
            {**good, "customers": {"a": [-1] + good["customers"]["a"][1:]}},
            {**good, "customers": {"a": good["customers"]["a"][:5]}},
            {**good, "links": {"s0": ["x"]}},
            {**good, "waits": 3},
            {**good, "memory": [True] * len(snapshot.GATEWAY_FIELDS)},
        ]
        for data in cases:
            new = GatewayHarness(PEERS)
            before = repr(vars(new.gateway)["customers"]), new.gateway.started
            with self.assertRaises(snapshot.SnapshotError, msg=str(data)[:80]):
                snapshot.restore(new.gateway, PEERS, data, new.now)
            self.assertEqual((repr(new.gateway.customers), new.gateway.started), before)

    def test_snapshot_with_a_corrupted_byte_is_rejected_or_harmless(self) -> None:
        rng = random.Random(5)
        text = ujson.dumps(transferred_snapshot(self.used_gateway()))
        for _ in range(300):
            position = rng.randrange(len(text))
            corrupted = text[:position] + rng.choice('0"{}[],n-e9') + text[position + 1 :]
            try:
                data = json.loads(corrupted)
                new = GatewayHarness(PEERS)
                snapshot.restore(new.gateway, PEERS, data, new.now)
            except (ValueError, snapshot.SnapshotError):
                continue
            new.submit(set_size=4)


class HandoverFiles(unittest.TestCase):
    """Two processes that communicate through handover files."""

    def setUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.enterContext(unittest.mock.patch.object(tempfile, "gettempdir", lambda: directory))
        self.log_lines: list[str] = []

    def process(self, pid: int, started: float) -> Handover:
        handover = Handover("n0", self.log_lines.append)
        handover.pid, handover.started = pid, started
        return handover

    def test_joining_process_gets_the_snapshot_of_the_serving_one(self) -> None:
        loop, old = Loop(print), self.process(os.getppid(), 1000.0)  # pid of a process that exists
        old.watch(
            loop,
            5.0,
            lambda: True,
            lambda: self.fail("the old process drains although none has succeeded it"),
            lambda: {"form": 1},
        )
        old.poll_now()
        new, got = self.process(os.getpid(), 2000.0), []
        joining = threading.Thread(target=lambda: got.append(new.join()))
        joining.start()
        while joining.is_alive():
            loop.turn()
        self.assertEqual(got, [{"form": 1}])
        third = self.process(4321, 3000.0)  # the snapshot is addressed to another process, and no new one is written
        self.assertIsNone(third.join())

    def test_a_process_is_alone_once_the_other_has_ended_or_knows_that_it_is_replaced(self) -> None:
        for partner, becomes_ready in ((2**22 - 3, False), (os.getppid(), True)):  # the first is no process
            with self.subTest(partner=partner):
                loop, handover, alone = Loop(print), self.process(os.getpid(), 2000.0), list[bool]()
                handover.joined, handover.partner_pid = True, partner
                handover.on_alone = lambda alone=alone: alone.append(True)  # type: ignore[misc]
                handover.watch(loop, 5.0, lambda ready=becomes_ready: ready, lambda: None, dict)  # type: ignore[misc]
                until = time.monotonic() + WAIT_TIMEOUT_S
                while not alone and time.monotonic() < until:
                    loop.turn()
                self.assertTrue(alone)

    def test_join_does_not_wait_where_no_process_serves(self) -> None:
        self.assertIsNone(self.process(10, 1.0).join())
        stale = self.process(os.getpid(), 1.0)
        stale.write_file(stale.ready_path, mark(2**22 - 3, 1.0))  # pid of no process
        self.assertIsNone(stale.join())
        self.assertFalse(os.path.exists(stale.join_path))
        self.assertEqual(self.log_lines, [])
        for corrupted in (b"", b"[]", b'{"pid": true}', b'{"pid": -4}'):
            self.assertIsNone(marked(corrupted))
