"""What a run takes of the machine: descriptors, processor time, memory, and datagrams that the kernel dropped."""

from __future__ import annotations

import resource
import time
from collections.abc import Iterable
from dataclasses import dataclass

from petrelhall.net.loop import Loop, now_ms

PROBE_MS = 100.0  # between two looks at how late the loop is
OWN_DESCRIPTORS = 64  # of the process besides its gateways: the interpreter's, epoll's, with some to spare
MIB = 1 << 20


class TooFewDescriptors(Exception):
    """The fleet needs more descriptors than its process may open; the text says how many."""


def check_descriptors(needed: int) -> None:
    """Refuse a fleet that does not fit in the limit of this process, which is left as it is (TooFewDescriptors)."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit != resource.RLIM_INFINITY and needed + OWN_DESCRIPTORS > limit:
        raise TooFewDescriptors(
            f"needs {needed + OWN_DESCRIPTORS} descriptors and may open {limit} (ulimit -n): take fewer gateways"
        )


def resident_bytes() -> int:
    """Give the resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def dropped_by_kernel(ports: Iterable[int]) -> int:
    """Count the datagrams that found the receive buffer of one of these local UDP ports full."""
    wanted, dropped = set(ports), 0
    with open("/proc/net/udp") as file:
        for line in list(file)[1:]:
            fields = line.split()
            if int(fields[1].rpartition(":")[2], 16) in wanted:
                dropped += int(fields[-1])
    return dropped


@dataclass(frozen=True, slots=True)
class MachineTime:
    """What all processors of the machine did since it started, in ticks."""

    total: int
    idle: int  # also for a disk
    stolen: int  # by the machine's own host


def machine_time() -> MachineTime:
    """Read what all processors did."""
    with open("/proc/stat") as file:
        user, nice, system, idle, wait, interrupts, soft, stolen = map(int, file.readline().split()[1:9])
    total = user + nice + system + idle + wait + interrupts + soft + stolen
    return MachineTime(total, idle + wait, stolen)


class Lateness:
    """How late the loop makes its calls: what the machine, and not the programs under test, adds to every time."""

    def __init__(self, loop: Loop) -> None:
        self.loop, self.seen = loop, list[float]()
        self.due = now_ms() + PROBE_MS
        loop.at(self.due, self.look)

    def look(self) -> None:
        """Take note of how late this call is."""
        now = now_ms()
        self.seen.append(now - self.due)
        self.due = now + PROBE_MS
        self.loop.at(self.due, self.look)


class ProcessorTime:
    """The processor time that this process takes, in shares of one core."""

    def __init__(self) -> None:
        self.began, self.used = time.monotonic(), time.process_time()

    def share(self) -> float:
        """Give the share of one core since the start, or since the last call, and begin anew."""
        now, used = time.monotonic(), time.process_time()
        share = (used - self.used) / max(now - self.began, 1e-9)
        self.began, self.used = now, used
        return share
