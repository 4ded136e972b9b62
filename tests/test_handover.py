"""What an upgrade's new process takes over from the one that serves."""

from __future__ import annotations

import json
import os
import random
import tempfile
import threading
import unittest
import unittest.mock
from dataclasses import replace
from typing import Any

import ujson

from petrelhall.control.handover import handed, letter, mark, marked
from petrelhall.decide import snapshot
from petrelhall.decide.interface import Ending, PeerMessage, Plan, Refuse, Send
from petrelhall.gateway.handover import Handover
from petrelhall.net.loop import Loop
from tests.test_policy import SETTINGS, Door, sends

PLANS = Plan(rate=2, burst=8, max_open=3), Plan(rate=100, burst=100, ceiling_rate=4, ceiling_burst=8)
PEERS = replace(SETTINGS, plans=PLANS, gateways=4, peers=True, peer_messages_per_s=100)


def told(door: Door) -> Any:
    """Take a snapshot, and carry it as a file does."""
    gateway = door.gateway
    taken = snapshot.take(
        gateway, gateway.settings, [gateway.latency[kind] for kind in gateway.settings.classes], gateway.faults
    )
    return handed(letter(7, taken), 7)


class Snapshots(unittest.TestCase):
    """Going on from where another process was."""

    def worn(self) -> Door:
        """Give a gateway that has served for a while: a store drawn down, a server slow, another failing."""
        door = Door(PEERS)
        door.now += 5000.0
        door.feed(PeerMessage(1, b"\x02\x00"))
        for _ in range(6):
            send = door.ask(spread=4)
            if isinstance(send, Send):
                door.answer(send, Ending.ERROR if send.server == "s1" else Ending.OK, ms=900.0, done=True)
        door.feed(PeerMessage(1, b"\x02\x00"))
        return door

    def test_a_store_that_was_drawn_down_is_not_full_again(self) -> None:
        old, new = self.worn(), Door(PEERS)
        new.now = old.now + 20.0
        snapshot.restore(new.gateway, PEERS, told(old), new.now)
        before, after = old.gateway.customers["a"], new.gateway.customers["a"]
        self.assertAlmostEqual(before.shared_bucket, after.shared_bucket)
        self.assertAlmostEqual(before.bucket, after.bucket)
        self.assertEqual(new.gateway.by_code[after.code], after)
        self.assertEqual(new.gateway.servers["s1"].health, old.gateway.servers["s1"].health)
        self.assertEqual(new.gateway.started, old.gateway.started)  # heard long enough to share a cap
        for _ in range(9):
            last = new.ask(spread=4)
        self.assertIsInstance(last, Refuse)

    def test_attempts_that_the_old_process_has_out_count_as_a_peers(self) -> None:
        old, new = Door(PEERS), Door(PEERS)
        old.now = new.now = old.now + 5000.0
        for door in (old, new):
            door.feed(PeerMessage(1, b"\x02\x00"))
        out = [old.ask(spread=1) for _ in range(2)]
        self.assertTrue(all(isinstance(send, Send) for send in out))
        snapshot.restore(new.gateway, PEERS, told(old), new.now)
        self.assertIsInstance(new.ask(spread=1), Send)
        self.assertNotIsInstance(new.ask(spread=1), Send)  # three in all
        new.now += 1000.0  # they have ended where they were, or are not told of any more
        self.assertTrue(sends(new.feed(PeerMessage(1, b"\x02\x00"))) or isinstance(new.ask(spread=1), Send))

    def test_what_is_spoilt_or_of_other_settings_is_refused_whole(self) -> None:
        good = told(self.worn())
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
            new = Door(PEERS)
            before = repr(vars(new.gateway)["customers"]), new.gateway.started
            with self.assertRaises(snapshot.SnapshotError, msg=str(data)[:80]):
                snapshot.restore(new.gateway, PEERS, data, new.now)
            self.assertEqual((repr(new.gateway.customers), new.gateway.started), before)

    def test_junk_put_anywhere_is_refused_or_harmless(self) -> None:
        dice = random.Random(5)
        text = ujson.dumps(told(self.worn()))
        for _ in range(300):
            at = dice.randrange(len(text))
            spoilt = text[:at] + dice.choice('0"{}[],n-e9') + text[at + 1 :]
            try:
                data = json.loads(spoilt)
                new = Door(PEERS)
                snapshot.restore(new.gateway, PEERS, data, new.now)
            except (ValueError, snapshot.SnapshotError):
                continue
            new.ask(spread=4)


class Letters(unittest.TestCase):
    """Two processes and the files between them."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.enterContext(unittest.mock.patch.object(tempfile, "gettempdir", lambda: folder))
        self.notes: list[str] = []

    def side(self, pid: int, started: float) -> Handover:
        side = Handover("n0", self.notes.append)
        side.pid, side.started = pid, started
        return side

    def test_who_joins_gets_the_snapshot_of_who_serves(self) -> None:
        loop, old = Loop(print), self.side(os.getppid(), 1000.0)  # a pid that is there
        old.watch(loop, 5.0, lambda: True, lambda: self.fail("it was not succeeded yet"), lambda: {"form": 1})
        old.look_now()
        new, got = self.side(os.getpid(), 2000.0), []
        joining = threading.Thread(target=lambda: got.append(new.join()))
        joining.start()
        while joining.is_alive():
            loop.turn()
        self.assertEqual(got, [{"form": 1}])
        again = self.side(4321, 3000.0)  # the letter was not for this one, and nobody writes another
        self.assertIsNone(again.join())

    def test_where_nobody_serves_nothing_is_waited_for(self) -> None:
        self.assertIsNone(self.side(10, 1.0).join())
        dead = self.side(os.getpid(), 1.0)
        dead.write(dead.ready_path, mark(2**22 - 3, 1.0))  # a pid that nobody has
        self.assertIsNone(dead.join())
        self.assertFalse(os.path.exists(dead.joins_path))
        self.assertEqual(self.notes, [])
        for spoilt in (b"", b"[]", b'{"pid": true}', b'{"pid": -4}'):
            self.assertIsNone(marked(spoilt))
