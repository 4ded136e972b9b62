"""The simulator's protocol, spoken with the real process; malformed input included."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

PROFILE = {
    "Balancers": 2,
    "Grades": [{"DeadlineMs": 3000.0, "Effect": "repeatable", "Group": "all", "PromiseMs": 1000.0}],
    "Packages": [{"QuotaRate": 5.0, "Depth": 10.0}],
    "Unknown": {"key": 1},
}
OPEN = [
    ["OpenInstance", 3, 42, PROFILE],
    ["Register", 0, [["10.0.0.1:1", 0, 0, 0, "healthy", 1, None]]],
    ["Fleet", 3, 1, 0, "cached"],
]
REQUEST = ["NewRequest", 3, 77, 0, 0, "91f03b7c55d20a64", 3000.0, 1, 2, 0, False, False]


def run_wirehost(*lines: str) -> tuple[list[list[list[Any]]], str]:
    """Run the process with these input lines; return its replies and its standard error."""
    run = subprocess.run(
        [sys.executable, "-m", "petrelhall.wirehost"],
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    return [json.loads(line)["outbox"] for line in run.stdout.splitlines()], run.stderr


def batch(now: float, *messages: list[Any]) -> str:
    return json.dumps({"NowMs": now, "msgs": messages})


def test_request_is_routed_to_the_listed_server() -> None:
    replies, errors = run_wirehost(batch(0), batch(1, *OPEN), batch(2, REQUEST))
    assert replies[0] == [] and errors == ""
    assert replies[2][0][:4] == ["Route", 3, 77, "10.0.0.1:1"]


def test_peer_messages_about_a_customer_go_to_the_gateways_of_its_set() -> None:
    plan = {"QuotaRate": 500.0, "Depth": 500.0, "Parallel": 9}
    profile = PROFILE | {
        "Balancers": 40,
        "Position": 7,
        "Limits": {"MayTell": True},
        "Packages": [plan],
        "FamilyInfo": {"MailPerS": 100.0},
    }
    request = [*REQUEST[:8], 3, 6, False, False]
    replies, _ = run_wirehost(batch(0), batch(1, ["OpenInstance", 3, 42, profile], *OPEN[1:]), batch(3000, request))
    assert [message[2] for message in replies[2] if message[0] == "Tell"] == [6, 8]


def test_server_lists_are_registered_in_order_within_a_batch() -> None:
    other_list = ["Register", 0, [["10.0.0.2:1", 0, 0, 0, "healthy", 1, None]]]
    replies, _ = run_wirehost(batch(1, *OPEN, other_list, ["Fleet", 3, 2, 0, "full"], REQUEST))
    assert [message[3] for message in replies[0] if message[0] == "Route"] == ["10.0.0.2:1"]


def test_stop_and_open_in_one_batch_discards_all_state() -> None:
    replies, errors = run_wirehost(
        batch(1, *OPEN, REQUEST), batch(2, ["Stop", 3], OPEN[0]), batch(3, ["ClientLeft", 3, 77])
    )
    assert replies[2] == [] and errors == ""


def test_malformed_lines_and_messages_are_logged_in_one_line_and_answered() -> None:
    replies, errors = run_wirehost(
        "no json",
        batch(1, ["Nonsense", 3]),
        batch(2, ["TimeoutFired", 9, 1]),
        batch(3, *OPEN),
        batch(4, REQUEST[:4]),
        batch(5, REQUEST),
    )
    assert len(replies) == 6 and replies[5][0][0] == "Route"
    lines = errors.splitlines()
    assert len(lines) == 4 and "Traceback" not in errors
