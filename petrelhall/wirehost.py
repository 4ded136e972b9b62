"""Hosts gateways on the simulator's wire: translates both ways and decides nothing.

Batches come in on standard input, one JSON line each; one reply line goes out for each on standard output.
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
FIELDS = {
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
    """A line or message that the wire does not allow."""


def read_event(name: str, values: list[Any], lists: dict[int, tuple[api.Server, ...]]) -> api.Event:
    """Turn one message into an event; ``values`` starts after the instance's number."""
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
            raise WireError(f"unknown kind of list {values[2]!r}")
        return api.ServerList(values[2], () if values[2] == "failed" else lists[values[1]])
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
    """Read a load report: an object or nothing."""
    return {str(key): float(number) for key, number in dict(value or {}).items() if number is not None}


def read_servers(entries: list[list[Any]]) -> tuple[api.Server, ...]:
    """Read the lines of a numbered list."""
    return tuple(
        api.Server(
            str(e[0]),
            int(e[1] or 0),
            int(e[3] or 0),
            str(e[4]),
            float(1.0 if e[5] is None else e[5]),
            float(e[6] or 0.0),
        )
        for e in entries
    )


def write_action(who: int, action: api.Action) -> Iterator[list[Any]]:
    """Turn one action into its messages: one, but for words to several gateways."""
    match action:
        case api.Send(request, server, timeout_ms):
            yield ["Route", who, request, server, timeout_ms]
        case api.Refuse(request, retry_after_ms):
            yield ["Refuse", who, request, retry_after_ms]
        case api.Fail(request):
            yield ["FinishError", who, request]
        case api.Cancel(request, attempt):
            yield ["Withdraw", who, request, attempt]
        case api.SetTimer(after_ms, token):
            yield ["SetAlarm", who, after_ms, token]
        case api.Probe(server):
            yield ["Probe", who, server]
        case api.Tell(content, to):
            yield from (["Tell", who, number, content.hex()] for number in to or "*")
        case api.CounterAdd(name, amount, expire_ms):
            yield ["Add", who, name, amount, expire_ms]
        case api.Subscribe():
            yield ["Observe", who, True]
        case api.Note(text):
            yield ["NoteDown", who, text]
        case _:
            raise TypeError(f"no such action: {action!r}")


class Host:
    """The gateways of one process, by instance number."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.lists: dict[int, tuple[api.Server, ...]] = {}

    def batch(self, line: str) -> str:
        """Answer one line of input with one line of output."""
        outbox: list[list[Any]] = []
        try:
            batch = json.loads(line)
            now, messages = float(batch["NowMs"]), batch["msgs"]
        except (ValueError, TypeError, KeyError) as error:
            print(f"wirehost: not a batch: {error!r}: {line[:80]!r}", file=sys.stderr)
            return '{"outbox":[]}'
        for index, message in enumerate(messages):
            try:
                self.message(now, message, outbox)
            except (WireError, ValueError, TypeError, KeyError, IndexError) as error:
                print(f"wirehost: message {index} at {now}: {error!r}: {str(message)[:160]}", file=sys.stderr)
        return json.dumps({"outbox": outbox}, separators=(",", ":"))

    def message(self, now: float, message: list[Any], outbox: list[list[Any]]) -> None:
        """Handle one message, adding its actions to the outbox."""
        name, values = message[0], message[1:]
        if name == "Register":
            self.lists[values[0]] = read_servers(values[1])
            return
        if name not in FIELDS:
            raise WireError("unknown message")
        if len(values) < FIELDS[name]:
            values = values + [None] * (FIELDS[name] - len(values))
        who = values[0]
        event: api.Event
        if name == "Stop":
            self.gateways.pop(who, None)
            return
        if name == "OpenInstance":
            self.gateways[who] = Gateway(read_settings(values[2]), int(values[1]))
            event = api.Started()
        elif who not in self.gateways:
            raise WireError(f"instance {who!r} was never opened")
        else:
            event = read_event(name, values[1:], self.lists)
        try:
            actions = self.gateways[who].handle(now, event)
        except Exception as error:  # the wire wants every failure of the decisions told as a Panic
            place = traceback.extract_tb(error.__traceback__)[-1]
            outbox.append(["Panic", who, f"{error!r} in {place.name}, line {place.lineno}, on {name}"])
            return
        for action in actions:
            outbox.extend(write_action(who, action))


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> None:
    """Serve batches until the input ends."""
    host = Host()
    for line in source:
        if line.strip():
            sink.write(host.batch(line) + "\n")
            sink.flush()


if __name__ == "__main__":
    main()
