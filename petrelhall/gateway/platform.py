"""The platform's own words: headers, query, deadlines and load reports, put over HTTP/1.1 messages."""

from __future__ import annotations

import re
from dataclasses import dataclass

from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.gateway.requests import Answer, Failed, Refused, Request, Served, Unsure
from petrelhall.http.h1 import Headers, HttpError, HttpRequest, HttpResponse, StreamingBody
from petrelhall.links.attempt import Verdict

PATH, READY = b"/api", b"/healthz"
DEADLINE = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])", re.ASCII)
FIGURE = re.compile(r"\d{1,12}(?:\.\d{1,12})?(?:e-?\d{1,2})?", re.ASCII)
NUMBER, WHOLE = re.compile(rb"\d{1,9}(?:\.\d{1,9})?"), re.compile(rb"\d{1,4}")  # not all that Python reads
METERING = {b"units": NUMBER, b"spread": WHOLE, b"first": WHOLE}
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
MOST_CUSTOMERS = 2**33
ONCE = frozenset(
    (  # headers that may come once only
        b"host",
        b"x-request-id",
        b"x-class",
        b"x-contract",
        b"x-deadline",
        b"x-metering",
        b"x-retry",
        b"idempotency-key",
        b"content-type",
    )
)
MOST_METERED = 512  # values kept
PASSED_ON = (b"host", b"x-request-id", b"idempotency-key", b"content-type")
EARLY_MS = 15.0  # a deadline counts from the client's send: the way here, the way back and our own turn
# Names of load figures on the sockets, and in the settings.
FIGURES = {"inflight": "rif", "queue": "q", "util": "busy", "latency_ms": "lat_ms", "qps": "rate", "eps": "fail_rate"}
REASONS = {400: b"bad request", 404: b"not found", 408: b"too slow", 413: b"body too large"}


class Refusal(ValueError):
    """A request that is not in the platform's form."""


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request's message and what of its headers goes on to servers."""

    message: HttpRequest
    headers: Headers


class Platform:
    """Reads and words messages for one set of settings."""

    def __init__(self, settings: api.Settings, classes: tuple[str, ...], plans: tuple[str, ...]) -> None:
        self.settings = settings
        self.deadlines = tuple(kind.deadline_ms for kind in settings.classes)
        self.classes = {name.encode(): index for index, name in enumerate(classes)}
        self.plans = {name.encode(): index for index, name in enumerate(plans)}
        self.figures = frozenset(settings.report_names)
        self.metered: dict[bytes, tuple[float, int, int]] = {}

    # Clients

    def parse_request(self, message: HttpRequest) -> Request | HttpError:
        """Read a client's request; one that is not in the platform's form goes no further."""
        path, _, query = message.target.partition(b"?")
        if path != PATH:
            return HttpError(404, "unknown path")
        headers = message.headers
        try:
            if message.repeated & ONCE:  # we and a server could each read another of the two
                raise Refusal("a header came twice")
            index = self.classes.get(headers.get(b"x-class", b""))
            plan = self.plans.get(headers.get(b"x-contract", b""))
            if index is None or plan is None:
                raise Refusal("X-Class or X-Contract missing or unknown")
            if not headers.get(b"x-request-id"):
                raise Refusal("X-Request-Id missing")
            effect = self.settings.classes[index].effect
            safe = effect is api.Effect.REPEATABLE
            if message.method != (b"GET" if safe else b"POST") or (safe and (message.body or message.streaming_body)):
                raise Refusal("the class asks for another method, or for no body")
            keyed = effect is api.Effect.KEYED
            if keyed and not headers.get(b"idempotency-key"):
                raise Refusal("Idempotency-Key missing")
            units, spread, first = self.metering(headers.get(b"x-metering", b""))
            left = min(deadline(headers.get(b"x-deadline", b"")), self.deadlines[index])
            return Request(
                index,
                plan,
                customer(query),
                left,
                units,
                spread,
                headers.get(b"x-retry") == b"1",
                ForwardedRequest(message, passed_on(message)),
                headers[b"x-request-id"],
                safe,
                first,
            )
        except Refusal as error:
            return HttpError(400, str(error))

    def metering(self, value: bytes) -> tuple[float, int, int]:
        """Read the units and the customer's set, size and first; the same few values come again and again."""
        read = self.metered.get(value)
        if read is None:
            read = self.read_metering(value)
            if len(self.metered) >= MOST_METERED:
                self.metered.clear()
            self.metered[value] = read
        return read

    def read_metering(self, value: bytes) -> tuple[float, int, int]:
        """Read them anew."""
        fields = dict(part.strip().partition(b"=")[::2] for part in value.split(b","))
        told = value.count(b"=") == len(fields)  # each once
        if not told or any(not form.fullmatch(fields.get(name, b"")) for name, form in METERING.items()):
            raise Refusal("X-Metering missing or malformed")
        units, spread, first = float(fields[b"units"]), int(fields[b"spread"]), int(fields[b"first"])
        gateways, largest = self.settings.gateways, self.settings.largest_units
        if not (0.0 < units <= largest and 0 < spread <= gateways and 0 <= first < gateways):
            raise Refusal("X-Metering out of range")
        return units, spread, first

    def answer(self, answer: Answer | HttpError) -> tuple[int, Headers, bytes]:
        """Word an answer to a client."""
        if isinstance(answer, Served):
            kind = answer.reply.headers.get(b"content-type")
            return 200, [(b"Content-Type", kind)] if kind else [], answer.reply.body
        if isinstance(answer, Refused):
            return 429, [(b"Retry-After", b"%.3f" % (answer.retry_after_ms / 1000.0))], b"try again later\n"
        if isinstance(answer, Unsure):
            return 503, [(b"Retry-After", b"%.3f" % (answer.retry_after_ms / 1000.0))], b"policy not known here\n"
        if isinstance(answer, Failed):
            return 502, [], answer.reason.encode() + b"\n"
        return answer.status, [], REASONS.get(answer.status, b"bad request") + b"\n"

    # Servers

    def outgoing(self, message: ForwardedRequest, wait_ms: float) -> tuple[bytes, bytes, Headers, bytes]:
        """Word an attempt: all that the client sent unchanged, and how long we wait."""
        asked = message.message
        headers = [*message.headers, (b"X-Deadline", b"%dm" % max(1, int(wait_ms)))]
        return (
            asked.method,
            asked.target,
            headers,
            asked.body if asked.streaming_body is None else asked.streaming_body.first_bytes,
        )

    def rest(self, message: ForwardedRequest) -> StreamingBody | None:
        """Give the rest of a body that is passed on as it comes, if there is one."""
        return message.message.streaming_body if isinstance(message, ForwardedRequest) else None

    def verdict(self, reply: HttpResponse) -> Verdict:
        """Read a server's answer; only its own word that the request did not run is proof of that."""
        report = self.parse_load_report(reply.headers.get(b"x-load", b""))
        if reply.status == 200:
            return Verdict(Ending.OK, report)
        if reply.status in (503, 504) and reply.headers.get(b"x-not-run") == b"1":
            return Verdict(Ending.FULL, report)
        return Verdict(Ending.ERROR, report)

    def parse_load_report(self, value: bytes) -> dict[str, float]:
        """Read a load report: a word, then fields; those that the settings do not name are passed over.

        A report with a figure that is not a number from 0 on is no report: one nan in a server's cost would
        keep the module from ever choosing it.
        """
        report = {}
        for part in value.decode("latin-1").replace(",", " ").split():
            name, equals, number = part.partition("=")
            name = FIGURES.get(name, name)
            if equals and name in self.figures:
                if not FIGURE.fullmatch(number):
                    return {}
                report[name] = float(number)
        return report


def customer(query: bytes) -> str:
    """Read the customer out of the query."""
    named = [part[7:] for part in query.split(b"&") if part.startswith(b"client=")]
    if len(named) != 1 or not CUSTOMER.fullmatch(named[0]) or int(named[0], 16) >= MOST_CUSTOMERS:
        raise Refusal("client missing or malformed")
    return named[0].decode("ascii").lower()


def deadline(value: bytes) -> float:
    """Read a deadline and give the milliseconds that we have."""
    read = DEADLINE.fullmatch(value.strip())
    if read is None:
        raise Refusal("X-Deadline missing or malformed")
    left = float(read[1]) / (1000.0 if read[2] == b"u" else 1.0)
    if left <= 0.0:
        raise Refusal("X-Deadline must be above 0")
    return max(1.0, left - EARLY_MS)


def passed_on(message: HttpRequest) -> Headers:
    """Give the headers that go on to a server; a body kept whole goes on with its length."""
    headers: Headers = [(name, message.headers[name]) for name in PASSED_ON if name in message.headers]
    if message.streaming_body is not None:
        length = message.streaming_body.length
        headers.append((b"Transfer-Encoding", b"chunked") if length is None else (b"Content-Length", b"%d" % length))
    elif message.body or b"content-length" in message.headers:
        headers.append((b"Content-Length", b"%d" % len(message.body)))
    return headers
