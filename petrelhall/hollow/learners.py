"""Hollow gateways as learners: the real core of each, on one TCP connection of its own."""

from __future__ import annotations

from petrelhall.configuration.versions import VersionName
from petrelhall.distribution.learner import (
    Connect,
    Connected,
    Disconnect,
    Disconnected,
    Dropped,
    Learner,
    LearnerEvent,
    NoChecks,
    Notified,
    PutInForce,
    SendWatch,
    Tick,
    UpdateReceived,
)
from petrelhall.distribution.messages import MessageError, Update, decode, encode
from petrelhall.distribution.timing import Timing
from petrelhall.hollow.network import FrameConnection, Network, connect
from petrelhall.hollow.recorder import Recorder, Sighting, shared_ms
from petrelhall.net.loop import OFFSET_MS, Timer, now_ms
from petrelhall.net.stream import Address
from petrelhall.standins.configurations import content_digest

SAMPLE_MS = 50.0  # between two requests that each gateway is asked to decide on, besides one after each event
EARLIEST_MS = 1.0  # between two ticks


class LearnerShell:
    """One gateway's control part."""

    def __init__(
        self,
        network: Network,
        recorder: Recorder,
        number: int,
        incarnation: int,
        timing: Timing,
        distributors: tuple[Address, ...],
        seed: int,
    ) -> None:
        self.network, self.recorder, self.number, self.distributors = network, recorder, number, distributors
        self.core = Learner(number, incarnation, timing, len(distributors), NoChecks(), seed, now_ms())
        self.connection: FrameConnection | None = None
        self.link = 0
        self.timer: Timer | None = None
        self.serving: VersionName | None = None
        self.served_at = 0.0
        self.refusing = False
        self.holds(self.core.document.name.digest.hex())
        self.observe()
        self.arm()

    # The core

    def handle(self, event: LearnerEvent) -> None:
        """Give the core an event, and do as it says."""
        for action in self.core.handle(now_ms(), event):
            if isinstance(action, SendWatch):
                if self.connection is not None and action.link == self.link:
                    self.connection.send(encode(action.watch))
            elif isinstance(action, Connect):
                self.connect(action)
            elif isinstance(action, Disconnect):
                self.disconnect()
            elif isinstance(action, PutInForce):
                self.put_in_force(action)
            elif isinstance(action, Notified):
                self.recorder.note(f"gateway {self.number}: {action.what}")
            elif isinstance(action, Dropped):
                self.recorder.note(f"gateway {self.number} dropped: {action.why}")
        self.observe()
        self.arm()

    def arm(self) -> None:
        """Have the next tick come when it has something to do."""
        due = max(self.core.due(), now_ms() + EARLIEST_MS)
        if self.timer is not None and self.timer.call is not None:
            if abs(self.timer.when - due) < EARLIEST_MS:
                return
            self.timer.cancel()
        self.timer = self.network.loop.at(due, self.tick)

    def tick(self) -> None:
        """Let time pass."""
        self.timer = None
        self.handle(Tick())

    # The connection

    def connect(self, action: Connect) -> None:
        """Connect to a distributor."""
        self.disconnect()
        link = self.link = action.link

        def opened(connection: FrameConnection) -> None:
            self.handle(Connected(link))

        def closed(connection: FrameConnection) -> None:
            if self.connection is connection:
                self.connection = None
            self.handle(Disconnected(link))

        def frame(connection: FrameConnection, content: bytes) -> None:
            self.on_frame(link, content)

        try:
            self.connection = connect(self.network, self.distributors[action.distributor], frame, opened, closed)
        except OSError:
            self.network.loop.after(0.0, lambda: self.handle(Disconnected(link)))

    def disconnect(self) -> None:
        """Close the connection that there is."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def on_frame(self, link: int, content: bytes) -> None:
        """Take an answer in."""
        try:
            message = decode(content)
        except MessageError as error:
            self.recorder.note(f"gateway {self.number}: {error!r}")
            return
        if isinstance(message, Update):
            self.handle(UpdateReceived(link, message))

    # What is observed

    def put_in_force(self, action: PutInForce) -> None:
        """Take note of what was applied."""
        at = shared_ms()
        if action.deltas is None:
            self.recorder.add(Sighting("applied", at, self.number, action.version.number, action.version.digest.hex()))
            return
        for delta in action.deltas:
            target, base = delta.target, delta.base.number
            self.recorder.add(Sighting("applied", at, self.number, target.number, target.digest.hex(), base))

    def observe(self) -> None:
        """Decide on a request; the first and the last under each version are written down."""
        now = now_ms()  # read before the decision: the rule is about what is true at this time
        served = self.core.admits(now)
        if served is not None and served is self.serving:
            self.served_at = now
            return
        if served != self.serving:
            self.end_run()
            if served is not None:
                self.admitted(now, served)
            elif not self.refusing:
                self.recorder.add(Sighting("refused", now - OFFSET_MS, self.number, 0, ""))
        self.serving, self.served_at, self.refusing = served, now, served is None

    def end_run(self) -> None:
        """Write down the last request that was decided on under the version served so far."""
        if self.serving is not None:
            self.admitted(self.served_at, self.serving)

    def admitted(self, now: float, version: VersionName) -> None:
        """Write down a request that was decided on."""
        self.recorder.add(Sighting("admitted", now - OFFSET_MS, self.number, version.number, version.digest.hex()))

    def finish(self) -> None:
        """Write down the last request, and what the content that is held says by itself."""
        self.end_run()
        document = self.core.document
        self.holds(content_digest(document.name.number, document.entries))

    def holds(self, digest: str) -> None:
        """Write down which version is held, and with which digest."""
        self.recorder.add(Sighting("applied", shared_ms(), self.number, self.core.document.name.number, digest))
