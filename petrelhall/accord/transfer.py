"""Transfer of documents between members in pieces: requested by members that lack them, sent within the rate limit."""

from __future__ import annotations

import math
import random
from collections import deque

from petrelhall.accord import words
from petrelhall.accord.documents import Documents
from petrelhall.accord.outbox import Outbox
from petrelhall.accord.plan import TimingParameters

RANDOM_SOURCE_SHARE = 0.3  # share of requests sent to a random member: the member named as source may be gone
MAX_QUEUED_PIECES = 40  # pieces waiting to be sent


class Transfer:
    """The documents being fetched, and the pieces queued for other members."""

    def __init__(
        self, incarnation: int, pace: TimingParameters, documents: Documents, outbox: Outbox, rng: random.Random
    ) -> None:
        self.incarnation, self.pace, self.documents, self.outbox, self.random = (
            incarnation,
            pace,
            documents,
            outbox,
            rng,
        )
        self.last_requested_at = -math.inf  # when pieces were last requested
        self.pieces: deque[tuple[int, words.Piece]] = deque()  # recipient and piece

    def fetch(self, digest: bytes, source: int) -> None:
        """Have a document fetched from ``source``; request it at once if it is not being fetched yet."""
        if digest not in self.documents.held and digest not in self.documents.parts and source != self.outbox.number:
            self.last_requested_at = -math.inf
        self.documents.seek(digest, source)

    def on_want(self, sender: int, message: words.Want) -> None:
        """Queue the requested pieces of a document."""
        for index, size, data in self.documents.pieces(message.digest, message.first, message.mask):
            if len(self.pieces) >= MAX_QUEUED_PIECES:
                break
            piece = words.Piece(self.incarnation, message.digest, index, size, data)
            if (sender, piece) not in self.pieces:
                self.pieces.append((sender, piece))

    def request_missing(self, now: float) -> None:
        """Request the missing pieces of documents being fetched, at most once per retry interval."""
        if not self.documents.parts or now - self.last_requested_at < self.pace.retry_ms:
            return
        self.last_requested_at = now
        for source, digest, missing, mask in self.documents.next_requests():
            if self.random.random() < RANDOM_SOURCE_SHARE:
                source = self.random.randrange(self.pace.members)
            self.outbox.send(source, words.Want(self.incarnation, digest, missing, mask))

    def send_pieces(self) -> None:
        """Send queued pieces, leaving enough tokens for a more urgent message to each voter."""
        while self.pieces and self.outbox.tokens >= 2.0 + len(self.pace.voters):
            to, piece = self.pieces.popleft()
            self.outbox.send(to, piece)
