"""Tests of how many customers the decision module remembers, and of which it forgets first."""

from __future__ import annotations

import time
import unittest
from itertools import repeat

from petrelhall.decide import interface as api
from petrelhall.decide.policy import Gateway
from petrelhall.net.memory import CUSTOMER_BYTES, MIB, MIN_CUSTOMERS, MemoryBudget
from tests.peers import GatewayTestCase, build_request

KIND = api.RequestClass(api.Effect.REPEATABLE, 500.0, 1500.0, late_worth=0.2)
QUOTA, CEILING = api.Plan(rate=2.0, burst=20.0), api.Plan(0.0, 0.0, ceiling_rate=1.0, ceiling_burst=10.0)
SERVER = api.Server("s0", 0, 0, "healthy", 1.0, 0.0)
MAX_CUSTOMERS = 40
LEAST_MEMORY_MB = 32
FLOOD_S = 4.0
CLIENTS = 20
BATCH = 50  # requests that a client sends at once


class ForgottenCustomersTest(unittest.TestCase):
    """A gateway that remembers few customers, and a flood of ever new ones."""

    def setUp(self) -> None:
        self.gateway = Gateway(api.Settings((KIND,), (QUOTA, CEILING)), 1)
        self.gateway.max_customers = MAX_CUSTOMERS
        self.now, self.number = 100000.0, 0
        self.handle(api.Started())
        self.handle(api.ServerList("full", (SERVER,)))
        self.now += 60000.0

    def handle(self, event: api.Event) -> list[api.Action]:
        return self.gateway.handle(self.now, event)

    def ask(self, customer: str, plan: int = 0, units: float = 1.0) -> api.Action:
        """Send a request and end its attempt at once; returns the decision."""
        self.number, self.now = self.number + 1, self.now + 1.0
        actions = self.handle(api.Arrival(self.number, 0, plan, customer, 1500.0, units, 1, False))
        decision = next(action for action in actions if isinstance(action, api.Send | api.Refuse))
        if isinstance(decision, api.Send):
            self.handle(api.Outcome(self.number, 0, "s0", api.Ending.OK, 1.0, True))
        return decision

    def flood(self, customers: int) -> None:
        """Send requests of customers that are seen once."""
        for _ in range(customers):
            self.ask(f"new-{self.number}")

    # Guards against: requests of ever new customers fill the memory, since each is remembered for 15 s (issue 53, c).
    def test_ever_new_customers_are_remembered_up_to_a_limit(self) -> None:
        self.flood(10 * MAX_CUSTOMERS)
        self.assertLessEqual(len(self.gateway.customers), MAX_CUSTOMERS)
        self.assertLessEqual(len(self.gateway.by_code), MAX_CUSTOMERS)
        self.assertLessEqual(len(self.gateway.active_customers), MAX_CUSTOMERS)
        self.assertIn(f"new-{self.number - 1}", self.gateway.customers)

    def check_still_refused(self, cause: str, plan: int, units: float) -> None:
        """Have a customer use up what it may, and check that it is refused for that after a flood of others."""
        while isinstance(self.ask("greedy", plan, units), api.Send):
            pass
        self.flood(4 * MAX_CUSTOMERS)
        decision = self.ask("greedy", plan, units)
        self.assertIsInstance(decision, api.Refuse)
        self.assertEqual(decision.cause, cause)  # type: ignore[union-attr]

    def test_a_customer_that_has_used_up_its_quota_is_not_forgotten_for_new_ones(self) -> None:
        self.check_still_refused("quota", plan=0, units=2.0)

    def test_a_customer_that_has_used_up_its_ceiling_is_not_forgotten_for_new_ones(self) -> None:
        self.check_still_refused("ceiling", plan=1, units=1.0)

    def test_a_customer_with_an_open_attempt_is_not_forgotten(self) -> None:
        self.number += 1
        self.handle(api.Arrival(self.number, 0, 0, "busy", 1500.0, 1.0, 1, False))
        self.flood(4 * MAX_CUSTOMERS)
        self.assertEqual(self.gateway.customers["busy"].open_attempts, 1)

    def test_a_customer_that_asks_often_is_not_forgotten(self) -> None:
        self.ask("usual")
        remembered = self.gateway.customers["usual"]
        for _ in range(20):
            self.flood(MAX_CUSTOMERS // 2)
            self.ask("usual", units=0.01)
        self.assertIs(self.gateway.customers["usual"], remembered)


class CustomerMemoryTest(GatewayTestCase):
    """The limit follows from the memory of the process."""

    def test_more_customers_are_remembered_where_there_is_more_memory(self) -> None:
        self.assertEqual(MemoryBudget(0.0).max_customers, MIN_CUSTOMERS)
        spare_bytes = 100.0 * MIB
        self.assertGreater(MemoryBudget(spare_bytes).max_customers, 10 * MIN_CUSTOMERS)
        self.assertLess(MemoryBudget(spare_bytes).max_customers * CUSTOMER_BYTES, 0.25 * spare_bytes)

    # Guards against: memory grows without end while requests come under ever new names (issue 53, c).
    def test_a_flood_of_new_customers_stays_within_the_least_memory(self) -> None:
        server = self.listener()
        self.start(server, limits={"sockets": 1024, "memory_mb": LEAST_MEMORY_MB})
        clients = [self.client() for _ in range(CLIENTS)]
        until, asked = time.monotonic() + FLOOD_S, 0
        while time.monotonic() < until:
            for client in clients:
                numbers = range(asked, asked + BATCH)
                requests = (build_request(number, deadline="20m") for number in numbers)  # refused for lack of time
                customers = (b"%016x" % number for number in numbers)
                client.sendall(b"".join(map(bytes.replace, requests, repeat(b"00000000b4d65521"), customers)))
                asked += BATCH
            for client in clients:
                received = b""
                while received.count(b"HTTP/1.1 ") < BATCH:
                    data = client.recv(65536)
                    self.assertTrue(data)
                    received += data
        self.assertLess(self.peak_mb(), LEAST_MEMORY_MB)


if __name__ == "__main__":
    unittest.main()
