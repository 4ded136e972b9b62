"""A gateway that receives the shared policy from distributors: real gateway and control processes, real requests."""

from __future__ import annotations

import http.client
import json
import re
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from petrelhall.configuration.document import Document
from petrelhall.configuration.versions import Entry
from petrelhall.gateway.learning import SharedChecks
from petrelhall.operator.file import OperatorError, parse
from petrelhall.operator.settings import Shared
from tests.peers import WAIT_TIMEOUT_S, GatewayTestCase, build_request, build_response, read_message
from tests.test_replica import Fleet


class LearningGateway(GatewayTestCase):
    """One gateway with one server that records the ``X-Policy`` headers it receives."""

    def runTest(self) -> None:  # noqa: N802
        """Do nothing: a TestCase needs a test method before its scripted peers can be used from pytest."""

    def accept_connections(self, listener: socket.socket) -> None:
        """Answer every request on every connection."""
        self.policy_headers: list[str] = []
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.answer_requests, args=(sock,), daemon=True).start()

    def answer_requests(self, sock: socket.socket) -> None:
        """Answer the requests of one connection until it is closed."""
        sock.settimeout(WAIT_TIMEOUT_S)
        try:
            while message := read_message(sock):
                match = re.search(rb"x-policy: (.*)\r\n", message, re.IGNORECASE)
                self.policy_headers.append(match[1].decode() if match else "")
                sock.sendall(build_response(b"ok"))
        except OSError:
            pass
        finally:
            sock.close()

    def start_gateway(self, folder: Path, management: str, **distribution: Any) -> None:
        """Start the gateway."""
        self.operator_file = folder / "operator.json"
        self.operator_file.write_text(json.dumps({"distribution": {"on": True, "stamp": True, **distribution}}))
        listener = self.listener()
        listener.settimeout(None)
        threading.Thread(target=self.accept_connections, args=(listener,), daemon=True).start()
        self.start(listener, arguments=("--operator", str(self.operator_file)), mgmt=management)
        self.management = management

    def status(self, number: int = 1) -> int:
        """Send one request and return the status of its response."""
        with self.client(build_request(number)) as sock:
            sock.settimeout(WAIT_TIMEOUT_S)
            return int(read_message(sock).split(b" ")[1])

    def view(self) -> dict[str, Any]:
        """Return the gateway's view of the configuration from its management address."""
        connection = http.client.HTTPConnection(self.management, timeout=WAIT_TIMEOUT_S)
        try:
            connection.request("GET", "/control/configuration")
            view: dict[str, Any] = json.loads(connection.getresponse().read())
            return view
        finally:
            connection.close()


def wait_until(condition: Any) -> None:
    """Wait until a condition holds, for at most 20 s."""
    end = time.monotonic() + 20.0
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.02)


@pytest.fixture
def gateway() -> Iterator[LearningGateway]:
    """Yield a gateway that is not started yet."""
    instance = LearningGateway()
    instance.setUp()
    try:
        yield instance
    finally:
        instance.doCleanups()


def free_address() -> str:
    """Return an address that is not in use."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        host, port = sock.getsockname()
    return f"{host}:{port}"


def test_gateway_serves_the_received_policy_and_refuses_without_a_lease(
    tmp_path: Path, gateway: LearningGateway
) -> None:
    fleet = Fleet(tmp_path, 3, 2, 0)
    try:
        gateway.start_gateway(tmp_path, free_address(), distributors=fleet.distributors)
        wait_until(lambda: gateway.status() == 200)
        assert gateway.policy_headers[-1].startswith("0 ")
        limits = {"plans": {"plan": {"rate": 400.0, "burst": 900.0}}}
        assert fleet.change("a", {"shared": limits, "other": "entry"}) == 1
        wait_until(lambda: gateway.view()["lease_ms"] > 0 and gateway.view()["version"] == 1)
        assert gateway.status(2) == 200 and gateway.policy_headers[-1].startswith("1 ")

        rejected = fleet.put("b", {"shared": {"plans": {"none": {"rate": 1.0}}}})
        fleet.until(lambda: rejected.poll() is not None)
        assert rejected.stdout is not None and rejected.returncode == 1
        assert "gateway 0: plans.none: no such plan; known: plan" in json.loads(rejected.stdout.read())["reason"]
        rejected.stdout.close()
        assert gateway.view()["version"] == 1 and gateway.status(3) == 200

        fleet.kill(watched_distributor(fleet, gateway))
        assert fleet.change("c", {"shared": {}}) == 3  # version 2 was refused; the other distributor takes over
        wait_until(lambda: gateway.view()["version"] == 3 and gateway.view()["lease_ms"] > 0)
        for name in [name for name in fleet.processes if name.startswith("distributor")]:
            fleet.kill(name)
        wait_until(lambda: gateway.view()["lease_ms"] == 0)
        assert gateway.status(4) == 503
        view = gateway.view()
        assert (view["state"], view["version"], view["connected"]) == ("unsure", 3, False)
        fleet.start("distributor-0")
        wait_until(lambda: gateway.status(5) == 200)
        gateway.stop()
    finally:
        fleet.end()


def watched_distributor(fleet: Fleet, gateway: LearningGateway) -> str:
    """Return the process name of the distributor from which a gateway receives the configuration."""
    return f"distributor-{fleet.distributors.index(gateway.view()['distributor'])}"


def test_gateway_that_started_by_its_file_needs_a_lease_once_informed(tmp_path: Path, gateway: LearningGateway) -> None:
    fleet = Fleet(tmp_path, 3, 1, 0)
    try:
        gateway.start_gateway(tmp_path, free_address(), distributors=fleet.distributors, begin="file")
        wait_until(lambda: gateway.status() == 200 and gateway.view()["lease_ms"] > 0)
        fleet.kill("distributor-0")
        wait_until(lambda: gateway.view()["lease_ms"] == 0)
        assert gateway.status() == 503
    finally:
        fleet.end()


def test_uninformed_gateway_refuses_or_serves_by_its_file(tmp_path: Path, gateway: LearningGateway) -> None:
    unused_addresses = [free_address()]
    gateway.start_gateway(tmp_path, free_address(), distributors=unused_addresses, begin="file")
    assert gateway.status() == 200
    gateway.stop()
    gateway.start_gateway(tmp_path, free_address(), distributors=unused_addresses)
    assert gateway.status() == 503
    assert gateway.view()["state"] == "unsure"


@pytest.mark.parametrize(
    ("section", "reason"),
    [
        ({"on": True}, "distribution.distributors: none, and distribution.on is true"),
        ({"distributors": ["a:1", "a:1"]}, "distribution.distributors[1]: 'a:1' is there twice"),
        ({"distributors": ["a:99999"]}, "distribution.distributors[0]: 'a:99999' has no port"),
        ({"distributors": ["a"]}, "distribution.distributors"),
        ({"lease_ms": 1}, "distribution.lease_ms: 1 cannot be used"),
        ({"leas_ms": 1}, "distribution.leas_ms: unknown; did you mean 'lease_ms'?"),
    ],
)
def test_invalid_section_is_reported_in_one_line(section: dict[str, Any], reason: str) -> None:
    with pytest.raises(OperatorError) as found:
        parse(json.dumps({"distribution": section}).encode())
    assert reason in str(found.value) and "\n" not in str(found.value)


def test_distribution_and_accord_cannot_both_be_on() -> None:
    section = {"distribution": {"on": True, "distributors": ["a:1"]}, "accord": {"on": True}}
    with pytest.raises(OperatorError, match="distribution.on: true beside accord.on"):
        parse(json.dumps(section).encode())
    assert parse(b"{}").distribution.on is False


def test_only_the_shared_entry_is_checked_against_the_gateways_settings() -> None:
    checks = SharedChecks(lambda shared: "refused" if shared != Shared() else "")
    document = Document()
    for put, reason in (
        ((Entry("other", b"{"),), ""),
        ((Entry("shared", b"{}"),), ""),
        ((Entry("other", b""), Entry("shared", b'{"plans":{"a":{"rate":1}}}')), "refused"),
        ((Entry("shared", b"{"),), "not JSON"),
        ((Entry("shared", b'{"plan":{}}'),), "did you mean 'plans'"),
    ):
        delta = document.delta(1, "c", put, ())
        found = checks.delta(document, delta)
        assert reason in found and bool(reason) == bool(found)
        whole = Document()
        whole.apply(delta)
        assert checks.whole(whole) == found
