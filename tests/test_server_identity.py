"""Tests of servers that come up at the address, or with the id, of one that has gone: they are other servers."""

from __future__ import annotations

import itertools
import unittest
from typing import Any

from petrelhall.boxes.claims import AddressClaims
from petrelhall.boxes.fleet import ServerRegistry
from petrelhall.decide import interface as api
from petrelhall.decide import snapshot
from petrelhall.decide.interface import Ending
from petrelhall.decide.policy import Gateway
from tests.peers import format_address, server_entry
from tests.test_moments import GatewayPartsTestCase

WINDOW_MS = 1000.0
KEYED = api.RequestClass(api.Effect.KEYED, 500.0, 1500.0, late_worth=0.2, group="zone", window_ms=WINDOW_MS)
PLAN = api.Plan(100.0, 100.0)
NOW = 1000000.0


def entry(name: str, address: str, state: str = "Ready", started_ms: float = 0.0, zone: str = "a") -> dict[str, Any]:
    """Build an entry of discovery's list."""
    return server_entry(name, address, state) | {"started_ms": started_ms, "zone": zone}


class AddressClaimsTest(unittest.TestCase):
    """The rule, for all orders in which servers are listed."""

    def test_the_server_that_started_last_has_the_address_whatever_the_order(self) -> None:
        for order in itertools.permutations((("old", 0.0), ("middle", 100.0), ("new", 200.0))):
            claims = AddressClaims()
            for server, started_ms in order:
                claims.set(server, ("h", 1), started_ms)
            self.assertEqual([claims.is_superseded(name) for name in ("old", "middle", "new")], [True, True, False])
            claims.remove("new")
            self.assertEqual([claims.is_superseded(name) for name in ("old", "middle")], [True, False])

    def test_a_server_that_moves_away_leaves_its_address(self) -> None:
        claims = AddressClaims()
        claims.set("first", ("h", 1), 0.0)
        self.assertEqual(claims.set("second", ("h", 1), 0.0), ["first"])
        self.assertTrue(claims.is_superseded("first"))
        self.assertEqual(claims.set("second", ("h", 2), 0.0), ["first"])
        self.assertFalse(claims.is_superseded("first"))
        self.assertFalse(claims.is_superseded("second"))


class SharedAddressTest(unittest.TestCase):
    """The registry, while discovery lists two servers at one address."""

    def setUp(self) -> None:
        self.registry = ServerRegistry(("a", "b"))
        self.apply(True, entry("old", "10.0.0.1:80"), entry("other", "10.0.0.2:80"))

    def apply(self, full: bool, *entries: dict[str, Any]) -> dict[str, str]:
        """Apply a response; returns the phases of the servers that it tells the decision module of."""
        update = self.registry.apply({"version": 1, "full": full, "servers": list(entries)})
        return {server.address: server.phase for server in update.servers}

    # Guards against: a new server at the address of one that has gone is sent the old one's work (issue 53, e).
    def test_a_new_server_takes_the_address_of_one_not_yet_reported_as_gone(self) -> None:
        phases = self.apply(False, entry("new", "10.0.0.1:80", started_ms=5000.0, zone="b"))
        self.assertEqual(phases, {"new": "healthy", "old": "cordoned"})
        self.assertEqual(self.registry.healthy, {"new", "other"})
        # News of the old one, and the end of it, change nothing for the new one.
        self.assertEqual(self.apply(False, entry("old", "10.0.0.1:80")), {"old": "cordoned", "new": "healthy"})
        self.assertEqual(self.apply(False, entry("old", "", "Gone")), {"old": "deregistered", "new": "healthy"})
        self.assertEqual(self.registry.healthy, {"new", "other"})

    def test_in_a_whole_list_the_one_that_started_last_has_the_address(self) -> None:
        both = (entry("new", "10.0.0.1:80", started_ms=5000.0), entry("old", "10.0.0.1:80"))
        self.assertEqual(self.apply(True, *both), {"new": "healthy", "old": "cordoned"})
        self.assertEqual(self.apply(True, both[1]), {"old": "healthy"})

    def test_the_old_server_gets_work_again_when_the_new_one_moves(self) -> None:
        self.apply(False, entry("new", "10.0.0.1:80", started_ms=5000.0))
        phases = self.apply(False, entry("new", "10.0.0.3:80", started_ms=5000.0))
        self.assertEqual(phases, {"new": "healthy", "old": "healthy"})

    def test_invalid_news_change_nothing(self) -> None:
        with self.assertRaises(ValueError):
            self.apply(False, entry("new", "10.0.0.1:80", started_ms=5000.0), {"id": ""})
        self.assertEqual(self.registry.healthy, {"old", "other"})
        self.assertFalse(self.registry.claims.is_superseded("old"))


class SharedAddressConnectionTest(GatewayPartsTestCase):
    """Connections, while discovery lists two servers at one address."""

    def test_an_attempt_at_the_old_server_does_not_reach_the_new_one(self) -> None:
        address = format_address(self.server)
        self.registry.apply({"version": 2, "full": False, "servers": [entry("new", address, started_ms=5000.0)]})
        self.start_attempt()  # at s0, the old one
        self.turn_until(lambda: self.results)
        self.assertIs(self.results[0].ending, Ending.MOOT)
        with self.assertRaises(BlockingIOError):
            self.server.accept()

    def test_an_idle_connection_to_the_old_server_is_not_used_for_the_new_one(self) -> None:
        self.start_attempt()
        first = self.accept()
        self.read(first, b"\r\n\r\n")
        first.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        self.turn_until(lambda: self.results)
        address = format_address(self.server)
        self.registry.apply({"version": 2, "full": False, "servers": [entry("new", address, started_ms=5000.0)]})
        self.start_attempt(server="new")
        second = self.accept()
        self.read(second, b"\r\n\r\n")
        self.assertEqual(self.read(first, None), b"")  # the gateway has closed it


class RestartedServerTest(unittest.TestCase):
    """Repeats of keyed requests after a server of their group has started anew."""

    def setUp(self) -> None:
        self.gateway = Gateway(api.Settings((KEYED,), (PLAN,), max_attempts=5), 1)
        self.handle(NOW, api.Started())
        self.list_servers(0.0)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return self.gateway.handle(now, event)

    def list_servers(self, second_since_ms: float, now: float = NOW) -> None:
        """List two servers of one zone; the second one started at the given time."""
        servers = (api.Server("first"), api.Server("second", since_ms=second_since_ms))
        self.handle(now, api.ServerList("full", servers))

    def first_attempt(self) -> api.Send:
        """Have a request sent to the first server."""
        self.handle(NOW, api.ServerList("delta", (api.Server("second", phase="cordoned"),)))
        actions = self.handle(NOW, api.Arrival(1, 0, 0, "c", 1500.0))
        self.handle(NOW, api.ServerList("delta", (api.Server("second"),)))
        return next(action for action in actions if isinstance(action, api.Send))

    def retry(self) -> list[type[api.Action]]:
        """Reset the first attempt; returns the decisions."""
        actions = self.handle(NOW + 100.0, api.Outcome(1, 0, "first", Ending.RESET, 100.0))
        return [type(action) for action in actions if isinstance(action, api.Send | api.Fail)]

    def test_a_repeat_goes_to_a_server_that_knows_the_key(self) -> None:
        self.assertEqual(self.first_attempt().server, "first")
        self.assertEqual(self.retry(), [api.Send])

    # Guards against: a keyed repeat goes to a server that started after the first run, and runs twice (issue 53, e).
    def test_a_repeat_does_not_go_to_a_server_that_started_after_the_first_run(self) -> None:
        self.first_attempt()
        self.list_servers(NOW + 50.0, NOW + 60.0)
        self.assertEqual(self.retry(), [api.Fail])

    def test_a_repeat_does_not_go_to_the_first_server_after_it_has_started_anew(self) -> None:
        self.first_attempt()
        servers = (api.Server("first", since_ms=NOW + 50.0), api.Server("second", phase="cordoned"))
        self.handle(NOW + 60.0, api.ServerList("full", servers))
        self.assertEqual(self.retry(), [api.Fail])

    def test_a_repeat_does_not_go_to_a_server_found_down_after_the_first_run(self) -> None:
        self.first_attempt()
        second = self.gateway.servers["second"]
        second.down_at = NOW + 50.0  # a connection failed; discovery has not told of a new start yet
        self.assertEqual(self.retry(), [api.Fail])

    # Guards against: after an upgrade a server that has started anew counts as the warm one before it (issue 53, e).
    def test_the_measured_state_of_a_server_is_not_restored_for_one_started_since(self) -> None:
        for server in self.gateway.servers.values():
            server.slowness = 3.0
        data = snapshot.take(self.gateway, self.gateway.settings, [100.0], [0.0])
        self.gateway = Gateway(self.gateway.settings, 2)
        self.handle(NOW, api.Started())
        self.list_servers(NOW - 10.0)
        snapshot.restore(self.gateway, self.gateway.settings, data, NOW)
        self.assertEqual([self.gateway.servers[name].slowness for name in ("first", "second")], [3.0, 1.0])


if __name__ == "__main__":
    unittest.main()
