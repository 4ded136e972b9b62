"""What membership costs a gateway's CPU, at 12 and at 200 members.

    python -m benchmarks.members_cost [--seconds 60]

Words of a settled fleet are recorded in simulated time and given to one core again, each through a UDP socket on
loopback, with the turns by the clock and the words that it sends in return. The cost a second is set beside that of
requests at 1 ms each, which is what a try costs on the bench, at 30 and at 100 requests a second.
"""

from __future__ import annotations

import argparse
import socket
import time

from petrelhall.emulate.fabric import Links
from petrelhall.emulate.members import Scene
from petrelhall.members.core import Members, MessageReceived, Send, Tick
from petrelhall.members.plan import LOOK_MS

TRY_MS = 1.0


def measure(members: int, seconds: float) -> float:
    """Give the milliseconds of CPU that a second of membership takes."""
    scene = Scene(members, 1, Links(0.02, (1.0, 40.0)))
    scene.run(scene.pace.found_ms / 1000.0)
    heard: list[tuple[float, int, bytes]] = []
    give = scene.fabric.give

    def recorded(sender: int, receiver: int, content: bytes) -> None:
        if receiver == 0:
            heard.append((scene.fabric.now, sender, content))
        give(sender, receiver, content)

    scene.fabric.give = recorded  # type: ignore[method-assign]
    began = scene.fabric.now
    scene.run(seconds)
    core = Members(0, 99, scene.pace, 1, began)
    one, other = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    for sock in (one, other):
        sock.bind(("127.0.0.1", 0))
    due, at = list(heard), began
    spent, actions = 0.0, []
    while at < scene.fabric.now:
        at += LOOK_MS
        while due and due[0][0] <= at:
            when, sender, content = due.pop(0)
            one.sendto(content, other.getsockname())  # the network's work: not counted
            start = time.process_time()
            content, _ = other.recvfrom(257)
            actions += core.handle(when, MessageReceived(sender, content))
            spent += time.process_time() - start
        start = time.process_time()
        for action in [*actions, *core.handle(at, Tick())]:
            if isinstance(action, Send):
                other.sendto(action.content, one.getsockname())
        spent += time.process_time() - start
        actions = []
        while True:
            try:
                one.recv(257, socket.MSG_DONTWAIT)
            except BlockingIOError:
                break
    for sock in (one, other):
        sock.close()
    return 1000.0 * spent / seconds


def main() -> None:
    """Measure both sizes."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=60.0)
    given = parser.parse_args()
    for members in (12, 200):
        cost = measure(members, given.seconds)
        print(
            f"{members} members: {cost:.2f} ms of CPU a second;",
            *(f"{100.0 * cost / (rate * TRY_MS):.1f}% more at {rate} requests a second" for rate in (30, 100)),
        )


if __name__ == "__main__":
    main()
