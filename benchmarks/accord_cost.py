"""What agreement costs a gateway's CPU while nothing changes, at 5, 40 and 200 members, and a request its look.

    python -m benchmarks.accord_cost [--seconds 60]

Words of a settled fleet are recorded in simulated time and given to one voter again, each through a UDP socket on
loopback, with its turns by the clock and the words that it sends. The cost a second is set beside that of requests at
1 ms each, at 30 and at 100 requests a second.
"""

from __future__ import annotations

import argparse
import copy
import socket
import time

from petrelhall.accord.core import ConsensusCore, MessageReceived, Send, Tick
from petrelhall.accord.plan import derive_timing
from petrelhall.emulate.accord import TICK_MS, Cores
from petrelhall.emulate.fabric import Fabric, Links

TRY_MS, LOOKS = 1.0, 200000


def measure(members: int, seconds: float) -> tuple[float, float]:
    """Give the milliseconds of CPU that a second of agreement takes at a voter, and the microseconds of one look."""
    driver = Cores(derive_timing(members, 7, 100.0, 0.3, 2000.0, 0.0, 300.0, False), 1)
    fabric = Fabric(driver, members, Links(0.02, (1.0, 40.0)), 1, TICK_MS)
    fabric.run(3.0 * (driver.pace.fence_ms + driver.pace.lease_duration_ms))
    heard: list[tuple[float, int, bytes]] = []
    give = fabric.give
    core: ConsensusCore = copy.deepcopy(fabric.cores[0])

    def recorded(sender: int, receiver: int, content: bytes) -> None:
        if receiver == 0:
            heard.append((fabric.now, sender, content))
        give(sender, receiver, content)

    fabric.give = recorded  # type: ignore[method-assign]
    at = fabric.now
    fabric.run(fabric.now + seconds * 1000.0)
    one, other = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    for sock in (one, other):
        sock.bind(("127.0.0.1", 0))
    one.setblocking(False)
    spent = 0.0
    while at < fabric.now:
        at += TICK_MS
        actions = []
        while heard and heard[0][0] <= at:
            when, sender, content = heard.pop(0)
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
        try:
            while True:
                one.recv(300)
        except BlockingIOError:
            pass
    start = time.process_time()
    for _ in range(LOOKS):
        core.can_admit(at)
    looks = time.process_time() - start
    return 1000.0 * spent / seconds, 1e6 * looks / LOOKS


def main() -> None:
    """Measure each size."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=60.0)
    seconds = parser.parse_args().seconds
    for members in (5, 40, 200):
        cost, look = measure(members, seconds)
        print(
            f"{members} members: {cost:.2f} ms a second, {100.0 * cost / (100.0 * TRY_MS):.1f}% at 100 requests/s, "
            f"{100.0 * cost / (30.0 * TRY_MS):.1f}% at 30; a look {look:.2f} us",
            flush=True,
        )


if __name__ == "__main__":
    main()
