"""The platform's HTTP conventions: its headers, query, deadlines and load reports, on top of HTTP/1.1 messages."""

from __future__ import annotations

import re
from dataclasses import dataclass

from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.gateway.requests import Answer, Failed, Refused, Request, Served, Unsure
from petrelhall.http.h1 import Headers, HttpError, HttpRequest, HttpResponse, StreamingBody
from petrelhall.links.attempt import ResponseVerdict

API_PATH = b"/api"
HEALTH_PATH = b"/healthz"
# Stricter than float() and int(), which also accept signs, underscores, nan and the like.
DEADLINE_FORM = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])", re.ASCII)
LOAD_VALUE_FORM = re.compile(r"\d{1,12}(?:\.\d{1,12})?(?:e-?\d{1,2})?", re.ASCII)
DECIMAL_FORM, INTEGER_FORM = re.compile(rb"\d{1,9}(?:\.\d{1,9})?"), re.compile(rb"\d{1,4}")
METERING_FORMS = {b"units": DECIMAL_FORM, b"spread": INTEGER_FORM, b"first": INTEGER_FORM}
CUSTOMER_FORM = re.compile(rb"[0-9a-fA-F]{16}")
CUSTOMER_CODE_LIMIT = 2**33
# Headers that must not be repeated.
SINGLE_VALUED_HEADERS = frozenset(
    (
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
METERING_CACHE_SIZE = 512  # parsed X-Metering values
FORWARDED_HEADERS = (b"host", b"x-request-id", b"idempotency-key", b"content-type")
# The client's deadline counts from when it sends: this covers the network both ways and our own processing.
DEADLINE_MARGIN_MS = 15.0
# From the name of a load value in HTTP headers to its name in the settings.
LOAD_VALUE_NAMES = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}
REASON_BODIES = {400: b"bad request", 404: b"not found", 408: b"too slow", 413: b"body too large", 503: b"no memory"}


class InvalidRequest(ValueError):
    """A request that does not follow the platform's conventions."""


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A client's message and the headers that are forwarded to servers."""

    message: HttpRequest
    headers: Headers


class Platform:
    """Parses requests and load reports and renders answers and attempts, for one set of settings."""

    def __init__(self, settings: api.Settings, classes: tuple[str, ...], plans: tuple[str, ...]) -> None:
        self.settings = settings
        self.deadlines = tuple(kind.deadline_ms for kind in settings.classes)
        self.classes = {name.encode(): index for index, name in enumerate(classes)}
        self.plans = {name.encode(): index for index, name in enumerate(plans)}
        self.load_values = frozenset(settings.report_names)
        self.metering_cache: dict[bytes, tuple[float, int, int]] = {}

    # Clients

    def parse_request(self, message: HttpRequest) -> Request | HttpError:
        """Parse a client's request; an invalid one is rejected here."""
        path, _, query = message.target.partition(b"?")
        if path != API_PATH:
            return HttpError(404, "unknown path")
        headers = message.headers
        try:
            if message.repeated & SINGLE_VALUED_HEADERS:  # the gateway and a server might each use a different one
                raise InvalidRequest("a header came twice")
            class_index = self.classes.get(headers.get(b"x-class", b""))
            plan = self.plans.get(headers.get(b"x-contract", b""))
            if class_index is None or plan is None:
                raise InvalidRequest("X-Class or X-Contract missing or unknown")
            if not headers.get(b"x-request-id"):
                raise InvalidRequest("X-Request-Id missing")
            effect = self.settings.classes[class_index].effect
            repeatable = effect is api.Effect.REPEATABLE
            if message.method != (b"GET" if repeatable else b"POST") or (
                repeatable and (message.body or message.streaming_body)
            ):
                raise InvalidRequest("the class asks for another method, or for no body")
            keyed = effect is api.Effect.KEYED
            if keyed and not headers.get(b"idempotency-key"):
                raise InvalidRequest("Idempotency-Key missing")
            units, set_size, set_first = self.metering(headers.get(b"x-metering", b""))
            remaining_ms = min(parse_deadline(headers.get(b"x-deadline", b"")), self.deadlines[class_index])
            return Request(
                class_index,
                plan,
                parse_customer(query),
                remaining_ms,
                units,
                set_size,
                headers.get(b"x-retry") == b"1",
                ForwardedRequest(message, forwarded_headers(message)),
                headers[b"x-request-id"],
                repeatable,
                set_first,
                message.streaming_body is not None,
            )
        except InvalidRequest as error:
            return HttpError(400, str(error))

    def metering(self, value: bytes) -> tuple[float, int, int]:
        """Return the units and the size and first gateway of the customer's set; cached, as few values recur often."""
        parsed = self.metering_cache.get(value)
        if parsed is None:
            parsed = self.parse_metering(value)
            if len(self.metering_cache) >= METERING_CACHE_SIZE:
                self.metering_cache.clear()
            self.metering_cache[value] = parsed
        return parsed

    def parse_metering(self, value: bytes) -> tuple[float, int, int]:
        """Parse an X-Metering header."""
        fields = dict(part.strip().partition(b"=")[::2] for part in value.split(b","))
        no_duplicates = value.count(b"=") == len(fields)
        if not no_duplicates or any(not form.fullmatch(fields.get(name, b"")) for name, form in METERING_FORMS.items()):
            raise InvalidRequest("X-Metering missing or malformed")
        units, set_size, set_first = float(fields[b"units"]), int(fields[b"spread"]), int(fields[b"first"])
        gateways, largest_units = self.settings.gateways, self.settings.largest_units
        if not (0.0 < units <= largest_units and 0 < set_size <= gateways and 0 <= set_first < gateways):
            raise InvalidRequest("X-Metering out of range")
        return units, set_size, set_first

    def render_answer(self, answer: Answer | HttpError) -> tuple[int, Headers, bytes]:
        """Return the status, headers and body of an answer to a client."""
        if isinstance(answer, Served):
            content_type = answer.reply.headers.get(b"content-type")
            return 200, [(b"Content-Type", content_type)] if content_type else [], answer.reply.body
        if isinstance(answer, Refused):
            return 429, [(b"Retry-After", b"%.3f" % (answer.retry_after_ms / 1000.0))], b"try again later\n"
        if isinstance(answer, Unsure):
            return 503, [(b"Retry-After", b"%.3f" % (answer.retry_after_ms / 1000.0))], b"policy not known here\n"
        if isinstance(answer, Failed):
            return 502, [], answer.reason.encode() + b"\n"
        return answer.status, [], REASON_BODIES.get(answer.status, b"bad request") + b"\n"

    # Servers

    def outgoing(self, message: ForwardedRequest, wait_ms: float) -> tuple[bytes, bytes, Headers, bytes]:
        """Return method, target, headers and body of an attempt: the client's request and the time left for it."""
        received = message.message
        headers = [*message.headers, (b"X-Deadline", b"%dm" % max(1, int(wait_ms)))]
        return (
            received.method,
            received.target,
            headers,
            received.body if received.streaming_body is None else received.streaming_body.first_bytes,
        )

    def rest(self, message: ForwardedRequest) -> StreamingBody | None:
        """Return the rest of a streamed request body, or None if the message has none."""
        return message.message.streaming_body if isinstance(message, ForwardedRequest) else None

    def verdict(self, reply: HttpResponse) -> ResponseVerdict:
        """Interpret a server's reply; only its explicit X-Not-Run header proves that the request did not run."""
        report = self.parse_load_report(reply.headers.get(b"x-load", b""))
        if reply.status == 200:
            return ResponseVerdict(Ending.OK, report)
        if reply.status in (503, 504) and reply.headers.get(b"x-not-run") == b"1":
            return ResponseVerdict(Ending.FULL, report)
        return ResponseVerdict(Ending.ERROR, report)

    def parse_load_report(self, value: bytes) -> dict[str, float]:
        """Parse a load report: a word followed by fields; those that the settings do not name are ignored.

        A report with any value that is not a non-negative number is ignored as a whole: a single NaN in a server's
        cost would keep the decision module from ever choosing it.
        """
        report = {}
        for part in value.decode("latin-1").replace(",", " ").split():
            name, equals, number = part.partition("=")
            name = LOAD_VALUE_NAMES.get(name, name)
            if equals and name in self.load_values:
                if not LOAD_VALUE_FORM.fullmatch(number):
                    return {}
                report[name] = float(number)
        return report


def parse_customer(query: bytes) -> str:
    """Return the customer named in the query, in lower case."""
    values = [part[7:] for part in query.split(b"&") if part.startswith(b"client=")]
    if len(values) != 1 or not CUSTOMER_FORM.fullmatch(values[0]) or int(values[0], 16) >= CUSTOMER_CODE_LIMIT:
        raise InvalidRequest("client missing or malformed")
    return values[0].decode("ascii").lower()


def parse_deadline(value: bytes) -> float:
    """Return the milliseconds left until the client's deadline, less the margin."""
    match = DEADLINE_FORM.fullmatch(value.strip())
    if match is None:
        raise InvalidRequest("X-Deadline missing or malformed")
    left_ms = float(match[1]) / (1000.0 if match[2] == b"u" else 1.0)
    if left_ms <= 0.0:
        raise InvalidRequest("X-Deadline must be above 0")
    return max(1.0, left_ms - DEADLINE_MARGIN_MS)


def forwarded_headers(message: HttpRequest) -> Headers:
    """Return the headers that are forwarded to a server; a buffered body is sent with its length."""
    headers: Headers = [(name, message.headers[name]) for name in FORWARDED_HEADERS if name in message.headers]
    if message.streaming_body is not None:
        length = message.streaming_body.length
        headers.append((b"Transfer-Encoding", b"chunked") if length is None else (b"Content-Length", b"%d" % length))
    elif message.body or b"content-length" in message.headers:
        headers.append((b"Content-Length", b"%d" % len(message.body)))
    return headers
