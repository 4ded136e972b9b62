"""Passes a server's answer on to a client while it comes, no faster than the client reads."""

from __future__ import annotations

from petrelhall.gateway.client import Client
from petrelhall.http.h1 import HttpError, StreamingResponse
from petrelhall.net.loop import Loop, Steps, now_ms
from petrelhall.net.stream import MAX_UNREAD_BYTES

STALL_TIMEOUT_MS = 4000.0  # an answer must make progress within this time, from the server and to the client
# What the kernel may hold of a streamed answer. It reports room for more once a third of that is sent, which a client
# that reads slowly but steadily has to reach within STALL_TIMEOUT_MS.
STREAM_SEND_BUFFER_BYTES = 131072
# A streamed answer may take STREAM_TIMEOUT_MS plus the time that its bytes take at 4 kB/s, so that an answer that
# trickles in endlessly is cut off.
STREAM_TIMEOUT_MS = 30000.0
STREAM_MS_PER_BYTE = 1000.0 / 4000.0


def relay_answer(loop: Loop, client: Client, answer: StreamingResponse, last: bool) -> Steps[bool]:
    """Forward an answer as it arrives, reading from the server only as fast as the client reads.

    If the server sends nothing or the client reads nothing for STALL_TIMEOUT_MS, both connections are closed:
    there is no other way to tell the client that the rest will not come.
    """
    answer.claimed = True
    client.stream.limit_send_buffer(STREAM_SEND_BUFFER_BYTES)
    source, wake = answer.source, loop.this_task().wake
    source.stream.notify, source.stream.max_unread = wake, loop.memory.bytes_per_stream
    content_type = answer.headers.get(b"content-type")
    # Only successful answers are streamed: the status is the server's 200.
    client.http.send_head(answer.status, [(b"Content-Type", content_type)] if content_type else [], answer.length, last)
    data, complete, keep_alive, unsent = answer.first_bytes, False, False, 0
    stalled_at, expires_at = now_ms() + STALL_TIMEOUT_MS, now_ms() + STREAM_TIMEOUT_MS
    timer = loop.at(stalled_at, wake)
    try:
        while not client.gone:
            if now_ms() >= timer.when:
                timer = loop.at(max(stalled_at, now_ms() + 1.0), wake)
            progress = bool(data) or complete or len(client.stream.outgoing) < unsent
            if data or complete:
                keep_alive = client.http.send_body(data, complete)
                if complete:
                    return keep_alive
                expires_at += len(data) * STREAM_MS_PER_BYTE
                data = b""
            if progress:
                stalled_at = now_ms() + STALL_TIMEOUT_MS
            unsent = len(client.stream.outgoing)
            if unsent < loop.memory.bytes_per_stream:
                part = source.read_body()
                if isinstance(part, HttpError):
                    break
                data, complete = part
                if data or complete:
                    continue
            if now_ms() >= min(stalled_at, expires_at):
                break
            yield
        # Reset: an HTTP/1.0 client would take an orderly close for the end of the answer.
        client.stream.abort()
        return False
    finally:
        timer.cancel()
        source.stream.max_unread = MAX_UNREAD_BYTES
        answer.on_done(complete)
