"""A started gateway that nobody uses: memory, CPU and descriptors of its process, by servers in its list."""

from __future__ import annotations

import time
from collections.abc import Iterator

from benchmarks.scale.child import gateway, usage
from benchmarks.scale.installation import server_list
from benchmarks.scale.sampling import MEBIBYTE, Effort, Samples
from petrelhall.capacity.records import Slope

MOST_REPEATS = 3
REST_SHARE = 0.1  # of the seconds of an effort that a process is watched


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slopes."""
    leaves_out = (
        "No client, no peers, no counter, membership, quota and consensus off; all servers of one list healthy."
    )
    memory = Samples(
        "process.rest.memory", "Resident memory of a started gateway at rest.", "MiB", "servers", leaves_out
    )
    peak = Samples(
        "process.peak.memory",
        "Largest resident memory of a gateway from its start to its rest.",
        "MiB",
        "servers",
        leaves_out,
    )
    cpu = Samples("process.rest.cpu", "CPU of a started gateway at rest.", "ms/s", "servers", leaves_out)
    descriptors = Samples(
        "process.rest.descriptors", "Descriptors of a started gateway at rest.", "descriptors", "servers", leaves_out
    )
    for servers in effort.servers:
        listing = server_list(servers)
        for _ in range(min(MOST_REPEATS, effort.repeats)):
            with gateway(listing) as process_id:
                before, began = usage(process_id), time.monotonic()
                time.sleep(REST_SHARE * effort.seconds)
                after, seconds = usage(process_id), time.monotonic() - began
            memory.add(servers, after.resident_bytes / MEBIBYTE)
            peak.add(servers, after.peak_bytes / MEBIBYTE)
            cpu.add(servers, 1000.0 * (after.cpu_s - before.cpu_s) / seconds)
            descriptors.add(servers, float(after.descriptors))
    for samples in (memory, peak, cpu, descriptors):
        yield samples.slope()
