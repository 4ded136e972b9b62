"""Transfer of documents between members, in pieces: asked for by whoever lacks them, sent as the pace allows."""

from __future__ import annotations

import math
import random
from collections import deque

from petrelhall.accord import words
from petrelhall.accord.documents import Documents
from petrelhall.accord.outbox import Outbox
from petrelhall.accord.plan import TimingParameters

OTHERS = 0.3  # of the requests for a document go to any member
PIECES = 40  # waiting to be sent, at most


class Transfer:
    """The documents on their way here, and the pieces that others wait for."""

    def __init__(
        self, life: int, pace: TimingParameters, documents: Documents, outbox: Outbox, draw: random.Random
    ) -> None:
        self.life, self.pace, self.documents, self.outbox, self.random = life, pace, documents, outbox, draw
        self.sought = -math.inf  # when documents were last asked for
        self.pieces: deque[tuple[int, words.Piece]] = deque()

    def seek(self, digest: bytes, source: int) -> None:
        """Have a document fetched, at once where it is not on its way yet."""
        if digest not in self.documents.held and digest not in self.documents.parts and source != self.outbox.number:
            self.sought = -math.inf
        self.documents.seek(digest, source)

    def on_want(self, sender: int, message: words.Want) -> None:
        """Queue pieces of a document."""
        for index, size, data in self.documents.pieces(message.digest, message.first, message.mask):
            if len(self.pieces) >= PIECES:
                break
            piece = words.Piece(self.life, message.digest, index, size, data)
            if (sender, piece) not in self.pieces:
                self.pieces.append((sender, piece))

    def request(self, now: float) -> None:
        """Ask for the pieces that are missing."""
        if not self.documents.parts or now - self.sought < self.pace.retry_ms:
            return
        self.sought = now
        for source, digest, missing, mask in self.documents.next_requests():
            if self.random.random() < OTHERS:  # whoever named it may be gone
                source = self.random.randrange(self.pace.members)
            self.outbox.send(source, words.Want(self.life, digest, missing, mask))

    def send_pieces(self) -> None:
        """Send pieces that others wait for, with room left for what is more urgent."""
        while self.pieces and self.outbox.room >= 2.0 + len(self.pace.voters):
            to, piece = self.pieces.popleft()
            self.outbox.send(to, piece)
