"""A gateway that learns the shared part from distributors: the program, real control processes, real requests."""

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


class Serving(GatewayTestCase):
    """One gateway before one server, which notes what it is told of versions."""

    def runTest(self) -> None:  # noqa: N802
        """Stand for a test, so that the scripted peers can be used outside of unittest."""

    def serve(self, listener: socket.socket) -> None:
        """Answer all that comes."""
        self.stamps: list[str] = []
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.answer, args=(sock,), daemon=True).start()

    def answer(self, sock: socket.socket) -> None:
        """Answer on one connection until its end."""
        sock.settimeout(WAIT_TIMEOUT_S)
        try:
            while message := read_message(sock):
                found = re.search(rb"x-policy: (.*)\r\n", message, re.IGNORECASE)
                self.stamps.append(found[1].decode() if found else "")
                sock.sendall(build_response(b"ok"))
        except OSError:
            pass
        finally:
            sock.close()

    def begin(self, folder: Path, management: str, **distribution: Any) -> None:
        """Start the gateway."""
        self.operator = folder / "operator.json"
        self.operator.write_text(json.dumps({"distribution": {"on": True, "stamp": True, **distribution}}))
        listener = self.listener()
        listener.settimeout(None)
        threading.Thread(target=self.serve, args=(listener,), daemon=True).start()
        self.start(listener, arguments=("--operator", str(self.operator)), mgmt=management)
        self.management = management

    def status(self, number: int = 1) -> int:
        """Make one request, and give the status of its answer."""
        with self.client(build_request(number)) as sock:
            sock.settimeout(WAIT_TIMEOUT_S)
            return int(read_message(sock).split(b" ")[1])

    def view(self) -> dict[str, Any]:
        """Ask the gateway what it has learned."""
        line = http.client.HTTPConnection(self.management, timeout=WAIT_TIMEOUT_S)
        try:
            line.request("GET", "/control/configuration")
            found: dict[str, Any] = json.loads(line.getresponse().read())
            return found
        finally:
            line.close()


def until(condition: Any) -> None:
    """Wait until something is so, for a bounded time."""
    end = time.monotonic() + 20.0
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.02)


@pytest.fixture
def serving() -> Iterator[Serving]:
    """Give a gateway that is not started yet."""
    found = Serving()
    found.setUp()
    try:
        yield found
    finally:
        found.doCleanups()


def free_port() -> str:
    """Give an address that nobody uses."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        host, port = sock.getsockname()
    return f"{host}:{port}"


def test_a_gateway_serves_by_what_it_learned_and_refuses_without_a_lease(tmp_path: Path, serving: Serving) -> None:
    fleet = Fleet(tmp_path, 3, 2, 0)
    try:
        serving.begin(tmp_path, free_port(), distributors=fleet.distributors)
        until(lambda: serving.status() == 200)
        assert serving.stamps[-1].startswith("0 ")
        limits = {"plans": {"plan": {"rate": 400.0, "burst": 900.0}}}
        assert fleet.change("a", {"shared": limits, "other": "entry"}) == 1
        until(lambda: serving.view()["lease_ms"] > 0 and serving.view()["version"] == 1)
        assert serving.status(2) == 200 and serving.stamps[-1].startswith("1 ")

        bad = fleet.put("b", {"shared": {"plans": {"none": {"rate": 1.0}}}})
        fleet.until(lambda: bad.poll() is not None)
        assert bad.stdout is not None and bad.returncode == 1
        assert "gateway 0: plans.none: no such plan; known: plan" in json.loads(bad.stdout.read())["reason"]
        bad.stdout.close()
        assert serving.view()["version"] == 1 and serving.status(3) == 200

        fleet.kill(serving_distributor(fleet, serving))
        assert fleet.change("c", {"shared": {}}) == 3  # number 2 was refused; the other distributor takes over
        until(lambda: serving.view()["version"] == 3 and serving.view()["lease_ms"] > 0)
        for name in [name for name in fleet.processes if name.startswith("distributor")]:
            fleet.kill(name)
        until(lambda: serving.view()["lease_ms"] == 0)
        assert serving.status(4) == 503
        view = serving.view()
        assert (view["state"], view["version"], view["connected"]) == ("unsure", 3, False)
        fleet.start("distributor-0")
        until(lambda: serving.status(5) == 200)
        serving.stop()
    finally:
        fleet.end()


def serving_distributor(fleet: Fleet, serving: Serving) -> str:
    """Give the name of the distributor's process that a gateway watches."""
    return f"distributor-{fleet.distributors.index(serving.view()['distributor'])}"


def test_who_began_by_its_file_goes_by_its_lease_once_it_has_heard_of_the_others(
    tmp_path: Path, serving: Serving
) -> None:
    fleet = Fleet(tmp_path, 3, 1, 0)
    try:
        serving.begin(tmp_path, free_port(), distributors=fleet.distributors, begin="file")
        until(lambda: serving.status() == 200 and serving.view()["lease_ms"] > 0)
        fleet.kill("distributor-0")
        until(lambda: serving.view()["lease_ms"] == 0)
        assert serving.status() == 503
    finally:
        fleet.end()


def test_until_anything_is_heard_a_gateway_refuses_or_serves_by_its_file(tmp_path: Path, serving: Serving) -> None:
    nobody = [free_port()]
    serving.begin(tmp_path, free_port(), distributors=nobody, begin="file")
    assert serving.status() == 200
    serving.stop()
    serving.begin(tmp_path, free_port(), distributors=nobody)
    assert serving.status() == 503
    assert serving.view()["state"] == "unsure"


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
def test_a_section_that_cannot_be_used_is_told_in_one_line(section: dict[str, Any], reason: str) -> None:
    with pytest.raises(OperatorError) as found:
        parse(json.dumps({"distribution": section}).encode())
    assert reason in str(found.value) and "\n" not in str(found.value)


def test_distribution_and_accord_are_not_both_on() -> None:
    both = {"distribution": {"on": True, "distributors": ["a:1"]}, "accord": {"on": True}}
    with pytest.raises(OperatorError, match="distribution.on: true beside accord.on"):
        parse(json.dumps(both).encode())
    assert parse(b"{}").distribution.on is False


def test_only_the_shared_entry_is_checked_by_the_gateways_settings() -> None:
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
