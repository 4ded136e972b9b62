"""Runs gateways inside the simulator: translates between its protocol and the decision module's interface.

Reads batches of messages from standard input, one JSON document a line, and writes one reply line for each to standard
output.
"""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Iterator
from typing import Any, TextIO

from petrelhall.decide import interface as api
from petrelhall.decide.policy import Gateway
from petrelhall.decide.settings import read_settings

ENDINGS = {ending.value: ending for ending in api.Ending}
# Number of fields of each message after its name; omitted trailing fields are read as null.
FIELD_COUNTS = {
    "OpenInstance": 3,
    "Stop": 1,
    "Fleet": 4,
    "NewRequest": 11,
    "HeadReceived": 5,
    "Settled": 10,
    "ClientLeft": 2,
    "TimeoutFired": 2,
    "Health": 5,
    "Memo": 3,
    "Tallied": 5,
}


class WireError(ValueError):
    """A message that violates the simulator's protocol."""


def read_event(name: str, values: list[Any], server_lists: dict[int, tuple[api.Server, ...]]) -> api.Event:
    """Convert one message to an event; ``values`` starts after the instance number."""
    if name == "NewRequest":
        return api.Arrival(
            int(values[0]),
            int(values[1]),
            int(values[2] or 0),
            str(values[3]),
            float(values[4]),
            float(values[5] or 0),
            int(values[6] or 1),
            bool(values[8]),
            set_first=int(values[7] or 0),
        )
    if name == "Settled":
        return api.Outcome(
            int(values[0]),
            int(values[1]),
            str(values[2]),
            ENDINGS[values[3]],
            float(values[4]),
            bool(values[5]),
            (values[6] - 1) / 100.0 if values[6] else None,
            float(values[7]) if values[7] else None,
            read_report(values[8]),
        )
    if name == "TimeoutFired":
        return api.Alarm(int(values[0]))
    if name == "Fleet":
        if values[2] not in ("delta", "full", "cached", "failed"):
            raise WireError(f"unknown server list kind {values[2]!r}")
        return api.ServerList(values[2], () if values[2] == "failed" else server_lists[values[1]])
    if name == "ClientLeft":
        return api.ClientGone(int(values[0]))
    if name == "HeadReceived":
        return api.StreamStarted(int(values[0]), int(values[3]))
    if name == "Health":
        return api.ProbeResult(str(values[2]), ENDINGS[values[0]], float(values[1]), read_report(values[3]))
    if name == "Memo":
        return api.PeerMessage(int(values[0]), bytes.fromhex(values[1]))
    if name == "Tallied":
        return api.CounterReply(int(values[0]), ENDINGS[values[1]], float(values[3] or 0.0))
    raise WireError("unknown message")


def read_report(value: Any) -> dict[str, float]:
    """Read a load report: an object or null."""
    return {str(key): float(number) for key, number in dict(value or {}).items() if number is not None}


def read_servers(entries: list[list[Any]]) -> tuple[api.Server, ...]:
    """Read the entries of a registered server list."""
    return tuple(
        api.Server(
            str(entry[0]),
            int(entry[1] or 0),
            int(entry[3] or 0),
            str(entry[4]),
            float(1.0 if entry[5] is None else entry[5]),
            float(entry[6] or 0.0),
        )
        for entry in entries
    )


def write_action(instance: int, action: api.Action) -> Iterator[list[Any]]:
    """Convert one action to messages: one, or one for each recipient of a ``Tell``."""
    match action:
        case api.Send(request, server, timeout_ms):
            yield ["Route", instance, request, server, timeout_ms]
        case api.Refuse(request, retry_after_ms):
            yield ["Refuse", instance, request, retry_after_ms]
        case api.Fail(request):
            yield ["FinishError", instance, request]
        case api.Cancel(request, attempt):
            yield ["Withdraw", instance, request, attempt]
        case api.SetTimer(after_ms, token):
            yield ["SetAlarm", instance, after_ms, token]
        case api.Probe(server):
            yield ["Probe", instance, server]
        case api.Tell(content, to):
            yield from (["Tell", instance, number, content.hex()] for number in to or "*")
        case api.CounterAdd(name, amount, expire_ms):
            yield ["Add", instance, name, amount, expire_ms]
        case api.Subscribe():
            yield ["Observe", instance, True]
        case api.Note(text):
            yield ["NoteDown", instance, text]
        case _:
            raise TypeError(f"unknown action: {action!r}")


class Host:
    """The gateways of one process, by instance number, and the registered server lists, by list number."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.server_lists: dict[int, tuple[api.Server, ...]] = {}

    def handle_batch(self, line: str) -> str:
        """Process one input line and return its output line."""
        outbox: list[list[Any]] = []
        try:
            batch = json.loads(line)
            now, messages = float(batch["NowMs"]), batch["msgs"]
        except (ValueError, TypeError, KeyError) as error:
            print(f"wirehost: malformed batch: {error!r}: {line[:80]!r}", file=sys.stderr)
            return '{"outbox":[]}'
        for index, message in enumerate(messages):
            try:
                self.handle_message(now, message, outbox)
            except (WireError, ValueError, TypeError, KeyError, IndexError) as error:
                print(
                    f"wirehost: rejected message {index} at {now} ms: {error!r}: {str(message)[:160]}", file=sys.stderr
                )
        return json.dumps({"outbox": outbox}, separators=(",", ":"))

    def handle_message(self, now: float, message: list[Any], outbox: list[list[Any]]) -> None:
        """Process one message and append the resulting messages to the outbox."""
        name, values = message[0], message[1:]
        if name == "Register":
            self.server_lists[values[0]] = read_servers(values[1])
            return
        if name not in FIELD_COUNTS:
            raise WireError("unknown message")
        if len(values) < FIELD_COUNTS[name]:
            values = values + [None] * (FIELD_COUNTS[name] - len(values))
        instance = values[0]
        event: api.Event
        if name == "Stop":
            self.gateways.pop(instance, None)
            return
        if name == "OpenInstance":
            self.gateways[instance] = Gateway(read_settings(values[2]), int(values[1]))
            event = api.Started()
        elif instance not in self.gateways:
            raise WireError(f"instance {instance!r} is not open")
        else:
            event = read_event(name, values[1:], self.server_lists)
        try:
            actions = self.gateways[instance].handle(now, event)
        except Exception as error:  # the protocol requires every failure of a decision to be reported as a Panic
            frame = traceback.extract_tb(error.__traceback__)[-1]
            outbox.append(["Panic", instance, f"{error!r} in {frame.name}, line {frame.lineno}, on {name}"])
            return
        for action in actions:
            outbox.extend(write_action(instance, action))


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> None:
    """Process batches until the end of input."""
    host = Host()
    for line in source:
        if line.strip():
            sink.write(host.handle_batch(line) + "\n")
            sink.flush()


if __name__ == "__main__":
    main()
