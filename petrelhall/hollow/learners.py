"""Hollow gateways as learners: the gateway's own shell and core, watched."""

from __future__ import annotations

from petrelhall.configuration.versions import VersionName
from petrelhall.decide import interface as api
from petrelhall.distribution.learner import LearnerEvent, PutInForce
from petrelhall.gateway.learning import ConfigurationLearner
from petrelhall.hollow.fleet import CLASSES
from petrelhall.hollow.recorder import Recorder, Sighting, shared_ms
from petrelhall.net.counts import Counts
from petrelhall.net.loop import OFFSET_MS, Loop, now_ms
from petrelhall.operator.settings import Distribution, Shared
from petrelhall.standins.configurations import content_digest

SAMPLE_MS = 50.0  # between two requests that each gateway is asked to decide on, besides one after each event
IN_FORCE = "is in force here"


class HollowLearner(ConfigurationLearner):
    """One gateway's control part; of the requests that it is asked to decide on, what the judge needs is kept."""

    def __init__(self, loop: Loop, recorder: Recorder, number: int, distributors: tuple[str, ...]) -> None:
        self.recorder, self.number = recorder, number
        self.serving: VersionName | None = None
        self.served_at = 0.0
        self.refusing = False
        super().__init__(
            loop,
            Distribution(on=True, distributors=distributors),
            api.Settings(classes=CLASSES, plans=(), position=number),
            Shared(),
            lambda shared: "",
            lambda shared, before: None,
            Counts(),
            self.note,
        )
        self.holds_version(self.core.document.name.digest.hex())
        self.observe()

    def note(self, line: str) -> None:
        """Keep what the gateway logs, but for what the sightings say already."""
        if not line.endswith(IN_FORCE):
            self.recorder.note(line)

    def handle(self, event: LearnerEvent) -> None:
        """Take in an event, and decide on a request right after it."""
        super().handle(event)
        self.observe()

    def put_in_force(self, action: PutInForce) -> None:
        """Take note of what was applied."""
        if action.deltas is None:
            self.holds_version(action.version.digest.hex())
        for delta in action.deltas or ():
            target, base = delta.target, delta.base.number
            self.recorder.add(Sighting("applied", shared_ms(), self.number, target.number, target.digest.hex(), base))
        super().put_in_force(action)

    def observe(self) -> None:
        """Decide on a request; the first and the last under each version are written down."""
        now = now_ms()  # read before the decision: the rule is about what is true at this time
        served = self.core.admits(now)
        if served is not None and served == self.serving:
            self.served_at = now
            return
        if self.serving is not None:
            self.write_admitted(self.served_at, self.serving)
        if served is not None:
            self.write_admitted(now, served)
        elif not self.refusing:
            self.recorder.add(Sighting("refused", now - OFFSET_MS, self.number, 0, ""))
        self.serving, self.served_at, self.refusing = served, now, served is None

    def write_admitted(self, now: float, version: VersionName) -> None:
        """Write down a request that was decided on."""
        self.recorder.add(Sighting("admitted", now - OFFSET_MS, self.number, version.number, version.digest.hex()))

    def holds_version(self, digest: str) -> None:
        """Write down which version is held whole, and with which digest."""
        self.recorder.add(Sighting("applied", shared_ms(), self.number, self.core.document.name.number, digest))

    def finish(self) -> None:
        """Write down the last request, and what the content that is held says by itself."""
        if self.serving is not None:
            self.write_admitted(self.served_at, self.serving)
        document = self.core.document
        self.holds_version(content_digest(document.name.number, document.entries))
