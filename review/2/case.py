"""Usual clients have to get their answers while others send hundreds of bad requests at once."""

from __future__ import annotations

import itertools
import multiprocessing
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import world as w  # noqa: E402

BAD_CLIENTS, BAD_PROCESSES = 100, 4
AT_ONCE = 250  # requests that a bad client sends at once, of a class that does not exist
USUAL_CLIENTS, PAUSE_S = 4, 0.25
SERVERS = 10
QUIET_S, SECONDS = 3.0, 25.0
DEADLINE_MS = 1500
LOST_S = (DEADLINE_MS + 50 + 500) / 1000.0  # the deadline, 50 ms on sockets, and the half second after its time

processes = multiprocessing.get_context("fork")


def serve(sock: socket.socket) -> None:
    """A server: reads a request whole, then answers it after 20 ms."""
    reader = w.Reader(sock)
    while True:
        message = reader.head()
        if message is None:
            return
        time.sleep(0.02)
        body = f"answer to {message[1].get('x-request-id')}".encode()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def run_servers(told) -> None:
    """The process of the servers."""
    listeners = [w.listen() for _ in range(SERVERS)]
    for listener in listeners:
        w.serve_forever(listener, serve)
    told.send([w.address(listener) for listener in listeners])
    time.sleep(110.0)


def run_bad_clients(number: int, listen: str, told, seconds: float) -> None:
    """A process of bad clients: each sends AT_ONCE requests, reads what it gets, and sends as many when all are answered."""
    until, names, statuses = time.monotonic() + seconds, itertools.count(), set()
    answers = [0]
    host, port = listen.split(":")

    def bad_client() -> None:
        while time.monotonic() < until:
            try:
                with socket.create_connection((host, int(port)), 10.0) as sock:
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    while time.monotonic() < until:
                        batch = (
                            w.request_head(f"bad{number:03x}{next(names):010x}", "no-such-class", DEADLINE_MS)
                            for _ in range(AT_ONCE)
                        )
                        sock.sendall(b"".join(batch))
                        left, tail = AT_ONCE, b""
                        while left > 0:
                            more = sock.recv(65536)
                            if not more:
                                break
                            parts = (tail + more).split(b"HTTP/1.1 ")
                            tail = (tail + more)[-8:]  # a status line may be cut in two
                            statuses.update(part[:3].decode() for part in parts[1:] if len(part) >= 3)
                            left -= len(parts) - 1
                            answers[0] += len(parts) - 1
                        if left > 0:  # the connection was closed
                            break
            except OSError:
                time.sleep(0.01)

    threads = [w.spawn(bad_client) for _ in range(BAD_CLIENTS // BAD_PROCESSES)]
    for thread in threads:
        thread.join(seconds + 15.0)
    told.send((next(names), answers[0], sorted(statuses)))


def case(world: w.World, record: w.Record) -> bool:
    """Return whether the rule was broken."""
    started = []
    try:
        here, there = processes.Pipe()
        started.append(processes.Process(target=run_servers, args=(there,), daemon=True))
        started[0].start()
        for number, address in enumerate(here.recv()):
            world.discovery.put(f"s-{number}", address)
        gateway = world.start_gateway({"memory_mb": 96, "sockets": 640})
        record("gateway ready")
        pipes = []
        for number in range(BAD_PROCESSES if w.TROUBLE else 0):
            mine, theirs = processes.Pipe()
            pipes.append(mine)
            started.append(
                processes.Process(target=run_bad_clients, args=(number, world.listen, theirs, SECONDS), daemon=True)
            )
        counts = {"sent": 0, "served": 0, "refused or failed": 0, "closed": 0, "lost": 0}
        worst, lock, names = [0.0, 0.0], threading.Lock(), itertools.count(1)
        until = time.monotonic() + QUIET_S + SECONDS

        def usual_client(number: int) -> None:
            sock = None
            while time.monotonic() < until:
                name = f"{next(names):016x}"
                outcome = "closed"
                sock = sock or world.connect(30.0)
                reader = w.Reader(sock)
                sock.sendall(w.request_head(name, "view-schedule", DEADLINE_MS))
                sent_at = time.monotonic()
                try:
                    head = reader.head()
                    if head is not None and reader.body(int(head[1]["content-length"])) is not None:
                        outcome = "served" if " 200" in head[0] else "refused or failed"
                        if head[1].get("connection") == "close":
                            sock = None
                    else:
                        sock = None
                except OSError as error:
                    outcome, sock = f"closed ({error})", None
                took = time.monotonic() - sent_at
                with lock:
                    counts["sent"] += 1
                    counts[outcome.partition(" (")[0]] += 1
                    counts["lost"] += took > LOST_S
                    worst[0] = max(worst[0], took)
                if took > 0.5:
                    record(f"client {number}: {name} {outcome} after {took:.2f} s{', LOST' if took > LOST_S else ''}")
                time.sleep(PAUSE_S)

        def beat() -> None:
            while time.monotonic() < until:
                at = time.monotonic()
                time.sleep(0.01)
                worst[1] = max(worst[1], time.monotonic() - at)

        threads = [w.spawn(usual_client, number) for number in range(USUAL_CLIENTS)] + [w.spawn(beat)]
        time.sleep(QUIET_S)
        for process in started[1:]:
            process.start()
        if w.TROUBLE:
            record(f"{BAD_CLIENTS} bad clients begin")
        for thread in threads:
            thread.join(60.0)
        for number, pipe in enumerate(pipes):
            if pipe.poll(20.0):
                requests, answers, statuses = pipe.recv()
                record(f"bad clients, process {number}: {requests} requests, {answers} answers, of {statuses}")
        record(f"usual clients: {counts}, the slowest answer took {worst[0]:.2f} s")
        record(f"this process itself was late by {worst[1]:.2f} s at most; gateway: exit code {gateway.poll()}")
        if worst[1] > 0.4:
            raise w.CannotRun("the stand-ins themselves were late: the machine is too busy")
        if not counts["served"]:
            raise w.CannotRun("nothing was served")
        return counts["lost"] > 0
    finally:
        for process in started:
            if process.is_alive():
                process.terminate()
                process.join(5.0)


sys.exit(w.main(case, FOLDER))
