"""Several real processes with faults between them, the views that operators ask for, and the command line."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Iterator
from typing import Any

import msgspec
from click.testing import CliRunner

from petrelhall.cli.main import main
from petrelhall.control.handover import mark
from petrelhall.members.words import HERE, Word, encode
from petrelhall.net.loop import now_ms
from petrelhall.operator.settings import File, Membership
from petrelhall.standins.network import Network
from petrelhall.standins.strikes import Play, Strike, drawn
from petrelhall.standins.world import settings as platform
from tests.peers import WAIT_TIMEOUT_S, GatewayTestCase, format_address

FAULTS = Play(
    strikes=(
        Strike(4.0, "kill", (1,), 6.0),
        Strike(4.0, "cut", (2,), 1.2, (3,), True),
        Strike(5.5, "flap", (0,), 2.0, (3,)),
        Strike(11.0, "stop", (3,), 1.5),
        Strike(11.2, "upgrade", (0,)),
    )
)


class Members(unittest.TestCase):
    """The short form of the drill: one script, so that its verdict is the same every time."""

    def test_a_kill_cuts_a_stop_and_an_upgrade_are_known_for_what_they_are(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            script, out = os.path.join(folder, "script.json"), os.path.join(folder, "out.json")
            with open(script, "wb") as file:
                file.write(msgspec.json.encode(FAULTS))
            result = CliRunner().invoke(
                main,
                [
                    "drill",
                    "members",
                    "--gateways",
                    "5",
                    "--seconds",
                    "20",
                    "--rate",
                    "30",
                    "--boxes",
                    "2",
                    "--script",
                    script,
                    "--json",
                    out,
                ],
            )
            self.assertEqual(result.exit_code, 0, result.output)
            with open(out) as file:
                figures = json.load(file)
        self.assertGreaterEqual(figures["failures"], 3)
        self.assertEqual(figures["found"], figures["failures"])
        self.assertEqual(
            [figures[name] for name in ("wrongly_failed", "dead_lives_back", "views_differ_at_end", "lost")],
            [0, 0, 0, 0],
        )
        self.assertEqual(
            list(figures)[-11:],
            [
                "faults",
                "failures",
                "found",
                "slowest_found_s",
                "wrongly_failed",
                "slowest_healed_s",
                "dead_lives_back",
                "views_differ_at_end",
                "requests",
                "lost",
                "words_per_s_each",
            ],
        )

    def test_a_script_that_names_a_gateway_too_many_is_refused_and_drawn_ones_leave_time_to_heal(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump({"strikes": [{"at_s": 1, "do": "kill", "gateways": [9]}]}, file)
            file.flush()
            result = CliRunner().invoke(main, ["drill", "members", "--script", file.name])
        self.assertEqual(result.exit_code, 2, result.output)
        for seed in range(40):
            for strike in drawn(40.0, 6, seed).strikes:
                self.assertLessEqual(strike.at_s + strike.for_s, 34.0)
                self.assertFalse(set(strike.gateways) & set(strike.towards))


class Ways(unittest.TestCase):
    """The network's own faults, datagram by datagram."""

    def test_each_way_cuts_limits_spoils_and_repeats_by_itself(self) -> None:
        async def play() -> None:
            socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
            for sock in socks:
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
                self.addCleanup(sock.close)
            network = Network([sock.getsockname() for sock in socks], 1)
            await network.start()
            network.ways[0, 1].cut = 1
            network.ways[1, 0].repeat = 1.0
            network.ways[1, 2].spoil = 1.0
            network.ways[2, 0].per_s = 1.0
            for sender in range(3):
                socks[sender].sendto(b"word", network.address)
            for _ in range(3):
                socks[2].sendto(b"word", network.senders[0].getsockname())
            got: list[list[bytes]] = [[], [], []]
            until = time.monotonic() + WAIT_TIMEOUT_S
            while time.monotonic() < until and (sum(map(len, got)) < 5 or network.seen["lost"] < 3):
                await asyncio.sleep(0.01)
                for number, sock in enumerate(socks):
                    with contextlib.suppress(BlockingIOError):
                        while True:
                            got[number].append(sock.recv(300))
            network.stop()
            self.assertEqual([len(got[0]), len(got[1]), len(got[2])], [3, 1, 2])  # 1 twice and 2 once; 2; 0 and 1
            self.assertEqual(sorted(word == b"word" for word in got[2]), [False, True])
            self.assertEqual((network.seen["cut"], network.seen["lost"]), (1, 3))

        asyncio.run(play())


class Views(GatewayTestCase):
    """One gateway with membership on, asked by operators."""

    @contextlib.contextmanager
    def gateway(self, peer: str = "127.0.0.1:9", **profile: Any) -> Iterator[str]:
        """Start one of two that may speak, beside a peer of the test's own; give where its management listens."""
        with socket.socket() as free, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as mail:
            free.bind(("127.0.0.1", 0))
            mail.bind(("127.0.0.1", 0))
            mgmt, own = format_address(free), format_address(mail)
        operator = self.stack.enter_context(tempfile.NamedTemporaryFile("w", suffix=".json"))
        json.dump({"members": {"on": True}}, operator)
        operator.flush()
        server = self.listener()
        self.start(
            server,
            arguments=("--operator", operator.name),
            mgmt=mgmt,
            peer_listen=own,
            peers=[own, peer],
            peers_all=peer,
            settings={**platform(2, 0, 1500.0), **profile},
        )
        yield mgmt

    def test_the_view_is_given_as_stated_and_the_command_line_shows_it(self) -> None:
        with self.gateway() as mgmt:
            result = self.asked(mgmt)
            view = json.loads(result.output)["views"][0]
            self.assertEqual(set(view) >= {"self", "life", "side", "members", "digest"}, True)
            self.assertEqual(set(view["side"]) >= {"heard", "of", "majority", "since_ms"}, True)
            for row in view["members"]:
                self.assertEqual(set(row) >= {"name", "number", "state", "life", "since_ms", "hears", "heard_by"}, True)
            self.assertEqual([row["state"] for row in view["members"]], ["here", "unknown"])
            self.assertEqual((view["side"]["heard"], view["side"]["majority"]), (1, False))
            shown = CliRunner().invoke(main, ["members", mgmt])
            self.assertEqual(shown.exit_code, 0, shown.output)
            self.assertIn("1 of 2, no majority", shown.output)
        self.stop()

    # Guards against: the old process of an upgrade claims an incarnation after that of the new one.
    def test_the_old_process_of_an_upgrade_does_not_outbid_the_incarnation_of_the_new_one(self) -> None:
        peer = self.stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        peer.bind(("127.0.0.1", 0))
        peer.settimeout(WAIT_TIMEOUT_S)
        with self.gateway(peer=format_address(peer)) as mgmt:
            life = json.loads(self.asked(mgmt).output)["views"][0]["life"]
            # As a newer process does that joins; this one runs for as long as the test does.
            with open(os.path.join(os.environ["TMPDIR"], "petrelhall-n0-joins.json"), "wb") as file:
                file.write(mark(os.getpid(), now_ms() + 1000.0))
            until = time.monotonic() + WAIT_TIMEOUT_S
            _, address = peer.recvfrom(1024)
            for seq in range(1, 4):
                peer.sendto(encode(Word(1, 1, seq, seq, 2, lives=((0, life + 5, 1, HERE),))), address)
            states = ["unknown"]
            while states[-1] != "here" and time.monotonic() < until:  # the messages have been taken in
                view = json.loads(self.asked(mgmt).output)["views"][0]
                states = [row["state"] for row in view["members"]]
            self.assertEqual((states, view["life"]), (["here", "here"], life))
        self.stop()

    def asked(self, mgmt: str) -> Any:
        """Ask until the listener answers."""
        until = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            result = CliRunner().invoke(main, ["members", mgmt, "--json"])
            if result.exit_code == 0 or time.monotonic() > until:
                return result
            time.sleep(0.02)

    def test_it_is_off_where_the_platform_allows_no_messages_and_by_default(self) -> None:
        self.assertEqual(File().members, Membership(on=False))
        limits = platform(2, 0, 1500.0)["Limits"] | {"MayTell": False}
        with self.gateway(Limits=limits) as mgmt:
            until = time.monotonic() + WAIT_TIMEOUT_S
            result = CliRunner().invoke(main, ["members", mgmt])
            while "refused" in result.output and time.monotonic() < until:
                time.sleep(0.02)
                result = CliRunner().invoke(main, ["members", mgmt])
            self.assertEqual(result.exit_code, 1)
            self.assertIn("members is off there", result.output)

    def test_a_gateway_without_it_loads_nothing_of_it(self) -> None:
        code = (
            "import sys, petrelhall.gateway.program; "
            "sys.exit(any(name.startswith(('petrelhall.members.core', 'petrelhall.gateway.membership')) "
            "for name in sys.modules))"
        )
        self.assertEqual(subprocess.run([sys.executable, "-c", code]).returncode, 0)

    def test_views_that_differ_are_named_by_member_and_by_gateway(self) -> None:
        from petrelhall.members.compare import clusters, disagreements

        def view(own: int, state: str, life: int = 5) -> dict[str, Any]:
            rows = [
                {"number": n, "state": "here" if n != 2 else state, "life": life if n == 2 else n + 1, "trusted": True}
                for n in range(3)
            ]
            return {"self": own, "members": rows, "digest": f"{state}{life}"}

        self.assertEqual(disagreements([view(0, "here"), view(1, "here")]), [])
        found = disagreements([view(0, "failed"), view(1, "here"), view(2, "here", 6)])
        self.assertEqual([(one.number, one.one, one.other) for one in found], [(2, 0, 1), (2, 0, 2), (2, 1, 2)])
        self.assertIn("0 says failed (life 5), 1 says here (life 5)", str(found[0]))
        self.assertEqual(clusters([view(0, "failed"), view(1, "here"), view(2, "here")]), [[1, 2], [0]])


if __name__ == "__main__":
    unittest.main()
