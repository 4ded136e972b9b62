"""A run of the configuration's distribution: replicas, distributors and learners in processes of their own."""

from __future__ import annotations

import contextlib
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from pathlib import Path
from typing import Literal

import msgspec

from petrelhall.configuration.versions import Entry
from petrelhall.gateway.learning import SHARED_ENTRY
from petrelhall.hollow.network import region_host
from petrelhall.hollow.operators import Operator
from petrelhall.hollow.process import ProcessConfig
from petrelhall.hollow.recorder import Batch, Used, read_batches, shared_ms
from petrelhall.hollow.usage import MIB, Lateness, MachineTime, check_descriptors, machine_time
from petrelhall.net.log import Log
from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.stream import Address
from petrelhall.operator.settings import Limits, Shared
from petrelhall.operator.shared import encode
from petrelhall.standins.configurations import Admitted, Excused, Observation, Verdict, judge, quantile

REGIONS = 5  # with one replica and one distributor each
START_S = 60.0  # at most, until all gateways admit under the first version
LAST_S = 15.0  # at most, until the last change is in force everywhere
PROBE_S = 1.0  # at most, for one look whether a process takes connections
SETTLE_S = 1.0  # at rest, before what is used at rest is measured
FAULT_AT_S = 5.0  # after the first change
MID_CHANGE_MS = 30.0  # after a change was submitted, at which its coordinator is killed
RETURN_MS = (
    7000.0  # after a fault, in which a gateway that it had cut off need not be back: the longest jitter, and more
)
GRACE_MS = 10_000.0
SILENT_SHARE = 0.1
MOST_OF_A_PROCESS = 140  # gateways: of more, one's answer waits for so many others' that its watch counts as lost
CHECK_MS = 20.0
Role = Literal["replica", "distributor", "gateways"]


class Fault(Enum):
    """What befalls a run."""

    NONE = "none"
    REPLICA = "replica"  # the coordinator is killed in mid-change
    DISTRIBUTOR = "distributor"  # one distributor is killed
    SILENT = "silent"  # a tenth of the gateways stop (SIGSTOP)
    REGION = "region"  # one region is cut off from all others
    START = "start"  # all gateways are killed, and started again at once


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """What is asked of a run."""

    gateways: int
    seconds: float = 60.0
    changes_per_s: float = 1.0
    rest_s: float = 8.0
    entries: int = 200  # of the first version
    value_bytes: int = 100
    delay_ms: float = 0.0  # one way, between regions
    fault: Fault = Fault.NONE
    fault_s: float = 30.0  # that a silence or a cut lasts
    seed: int = 1


class Share(msgspec.Struct, frozen=True):
    """What a process (or one of its gateways) took in a stretch of time."""

    core: float  # of one core
    bytes_in_per_s: float
    bytes_out_per_s: float
    messages_in_per_s: float
    messages_out_per_s: float


class Part(msgspec.Struct, frozen=True):
    """One process, or for gateways one of them on average."""

    name: str
    mib: float
    at_rest: Share
    in_changes: Share


class Times(msgspec.Struct, frozen=True):
    """Times in milliseconds; absent where nothing was measured."""

    count: int
    median: float | None
    percentile_99: float | None
    slowest: float | None


class DistributionReport(msgspec.Struct, frozen=True):
    """The figures of a run."""

    gateways: int
    fault: str
    delay_ms: float
    seconds: float
    started_ms: float | None  # from the start of the first process until all gateways admitted
    changes_submitted: int
    changes_in_force: int
    changes_refused: int
    changes_pending: int
    submit_to_in_force_ms: Times
    commit_to_in_force_ms: Times
    without_lease_ms: Times  # of each gateway between two versions
    returned_ms: float | None  # after the end of a fault, until all gateways admitted again
    gateway: Part
    replicas: tuple[Part, ...]
    distributors: tuple[Part, ...]
    connections_begun: int  # by gateways, all told; each needs one
    machine_busy: float  # share of all processors while changes were made, whoever used them
    machine_stolen: float  # share that the machine's own host took away
    operator_late_ms: float  # the parent's loop, 99th: what the machine adds
    observations: int
    mistakes: dict[str, int]
    missing: int  # versions that never came in force at a gateway that was not excused
    excused: int  # most, of one version
    examples: tuple[str, ...]
    notes: dict[str, int]

    def passed(self) -> bool:
        """Tell whether the judge found nothing, and every change that was submitted is in force."""
        return not any(self.mistakes.values()) and self.changes_in_force == self.changes_submitted


@dataclass
class Child:
    """A process of the run."""

    config: ProcessConfig
    popen: subprocess.Popen[bytes]
    admitting: int = 0
    version: int = -1
    unread: bytes = b""
    silent: bool = False  # whether its gateways are those that fall silent


def reserve_port(host: str) -> socket.socket:
    """Find a port for TCP and UDP that nobody has, and keep others from it; who is meant to can share it."""
    while True:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind((host, 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            try:
                datagrams.bind(sock.getsockname())
            except OSError:
                sock.close()
                continue
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return sock


def listens(address: Address) -> bool:
    """Tell whether somebody takes connections at an address."""
    try:
        socket.create_connection(address, timeout=PROBE_S).close()
    except OSError:
        return False
    return True


@dataclass
class Windows:
    """Stretches of time, by the shared clock."""

    rest: tuple[float, float] = (0.0, 0.0)
    changes: tuple[float, float] = (0.0, 0.0)
    machine: tuple[MachineTime, MachineTime] | None = None  # at the begin and end of changes


class DistributionRun:
    """One run."""

    def __init__(self, settings: DistributionSettings, folder: str) -> None:
        check_descriptors(2 * settings.gateways)  # a distributor may come to hold all of its own and another's
        self.settings, self.folder = settings, folder
        self.loop = Loop(Log("hollow run"))
        self.lateness = Lateness(self.loop)
        self.children: list[Child] = []
        self.files: list[tuple[ProcessConfig, Path]] = []
        self.reserved = [reserve_port(region_host(place % REGIONS)) for place in range(2 * REGIONS)]
        addresses: list[Address] = [sock.getsockname() for sock in self.reserved]
        self.replicas, self.distributors = tuple(addresses[:REGIONS]), tuple(addresses[REGIONS:])
        self.operator = Operator(self.loop, self.replicas)
        self.excused: list[int] = []  # gateways that a fault keeps from control
        self.fault_began = 0.0
        self.windows = Windows()
        self.began = shared_ms()
        self.started_ms: float | None = None
        self.returned_ms: float | None = None
        self.submitted = 0
        self.fault_ends: float | None = None

    # Processes

    def spawn(self, config: ProcessConfig) -> Child:
        """Start a process."""
        popen = subprocess.Popen(
            [sys.executable, "-m", "petrelhall.hollow.process", msgspec.json.encode(config).decode()],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            bufsize=0,
        )
        child = Child(config, popen)
        self.children.append(child)
        self.files.append((config, Path(config.file)))
        assert popen.stdout is not None
        self.loop.register(popen.stdout.fileno(), select.EPOLLIN, lambda mask: self.on_status(child))
        return child

    def config(self, role: Role, number: int, region: int, **others: object) -> ProcessConfig:
        """Describe a process."""
        known = ProcessConfig(
            role=role,
            number=number,
            host=region_host(region),
            file=os.path.join(self.folder, f"{role}-{number}-{len(self.files)}"),
            seed=self.settings.seed * 1000 + len(self.files),
            delay_ms=self.settings.delay_ms,
            replicas=tuple(f"{host}:{port}" for host, port in self.replicas),
            distributors=tuple(f"{host}:{port}" for host, port in self.distributors),
            folder=self.folder,
        )
        return msgspec.structs.replace(known, **others)

    def start_control(self) -> None:
        """Start all replicas and distributors."""
        for region in range(REGIONS):
            self.spawn(self.config("replica", region, region))
            self.spawn(self.config("distributor", region, region))

    def control_listens(self) -> bool:
        """Tell whether all control processes take connections: who finds its own missing stays with another."""
        return all(listens(address) for address in (*self.replicas, *self.distributors))

    def start_gateways(self) -> None:
        """Start all gateways; those of a region that fall silent are in processes of their own."""
        for region in range(REGIONS):
            numbers = range(region, self.settings.gateways, REGIONS)
            silent = round(SILENT_SHARE * len(numbers)) if self.settings.fault is Fault.SILENT else 0
            self.spawn_gateways(region, numbers[: len(numbers) - silent], silent=False)
            self.spawn_gateways(region, numbers[len(numbers) - silent :], silent=True)

    def spawn_gateways(self, region: int, numbers: range, silent: bool) -> None:
        """Start some gateways of a region, so many a process that none of its turns is long."""
        processes = -(-len(numbers) // MOST_OF_A_PROCESS)
        for place in range(processes):
            own = numbers[place::processes]
            child = self.spawn(self.config("gateways", own[0], region, gateways=len(own), step=own.step))
            child.silent = silent

    def on_status(self, child: Child) -> None:
        """Take in how many of a process's gateways admit."""
        assert child.popen.stdout is not None
        descriptor = child.popen.stdout.fileno()
        content = os.read(descriptor, 65536)
        if not content:
            self.loop.unregister(descriptor)
            child.admitting = 0
            return
        *lines, child.unread = (child.unread + content).split(b"\n")
        if lines:
            count, version = lines[-1].split()
            child.admitting, child.version = int(count), int(version)

    def gateways(self) -> list[Child]:
        """Give the processes of gateways that are there."""
        return [child for child in self.children if child.config.role == "gateways" and child.popen.returncode is None]

    def everyone_admits(self, version: int = 0) -> bool:
        """Tell whether all gateways admit, under this version or a later one."""
        return all(child.admitting == child.config.gateways and child.version >= version for child in self.gateways())

    def tell(self, child: Child, command: str) -> None:
        """Tell a process something."""
        assert child.popen.stdin is not None
        with contextlib.suppress(OSError):
            child.popen.stdin.write(command.encode() + b"\n")

    def kill(self, child: Child) -> None:
        """Kill one of this run's processes."""
        child.popen.kill()
        child.popen.wait()

    def end(self) -> None:
        """End all processes of this run."""
        for child in self.children:
            if child.popen.poll() is None:
                child.popen.send_signal(signal.SIGCONT)
                self.tell(child, "stop")
        deadline = now_ms() + 20_000.0
        for child in self.children:
            try:
                child.popen.wait(max(0.1, (deadline - now_ms()) / 1000.0))
            except subprocess.TimeoutExpired:
                self.kill(child)
            for pipe in (child.popen.stdin, child.popen.stdout):
                if pipe is not None:
                    pipe.close()
        for sock in self.reserved:
            sock.close()

    # Time

    def run_until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Turn the loop until something holds; False where the time ran out."""
        deadline = now_ms() + 1000.0 * seconds
        while not done():
            check_at = min(deadline, now_ms() + CHECK_MS)
            self.loop.at(check_at, _nothing)
            while now_ms() < check_at:
                self.loop.turn()
            if check_at == deadline:
                return done()
        return True

    def pass_time(self, seconds: float) -> None:
        """Let some time pass."""
        self.run_until(lambda: False, seconds)

    # The run

    def run(self) -> None:
        """Start all, rest, make changes with the fault among them, and wait for the last."""
        settings = self.settings
        self.start_control()
        if not self.run_until(self.control_listens, START_S):
            return
        self.start_gateways()
        self.submit("first", settings.entries - 1)
        if not self.run_until(lambda: self.everyone_admits(1), START_S):
            return
        self.started_ms = shared_ms() - self.began
        self.pass_time(SETTLE_S)
        rest_began = shared_ms()
        self.pass_time(settings.rest_s)
        self.windows.rest = rest_began, shared_ms()
        changes_began, machine_began = shared_ms(), machine_time()
        self.loop.after(1000.0 * FAULT_AT_S, self.begin_fault)
        self.make_changes()
        self.windows.changes, self.windows.machine = (changes_began, shared_ms()), (machine_began, machine_time())
        self.run_until(lambda: not self.operator.pending and self.fault_is_over(), LAST_S)
        self.pass_time(1.0)
        self.run_until(self.everyone_admits, LAST_S)

    def submit(self, name: str, entries: int) -> None:
        """Submit a change of the shared part that gateways serve by, with so many other entries."""
        self.submitted += 1
        shared = encode(Shared(plans={"measured": Limits(rate=1000.0, burst=1000.0 + self.submitted)}))
        padding = b"." * self.settings.value_bytes
        others = [Entry(f"entry-{number}", padding) for number in range(entries)]
        self.operator.submit(name, (Entry(SHARED_ENTRY, shared), *others))

    def make_changes(self) -> None:
        """Submit changes of one entry at their pace, whatever becomes of those before."""
        pace_ms = 1000.0 / self.settings.changes_per_s
        until = now_ms() + 1000.0 * self.settings.seconds
        next_at, number = now_ms(), 0
        while next_at < until:
            self.run_until(lambda due=next_at: now_ms() >= due, 10.0 + pace_ms / 1000.0)  # type: ignore[misc]
            number += 1
            self.submit(f"change-{number}", 0)
            next_at += pace_ms

    # Faults

    def fault_is_over(self) -> bool:
        """Tell whether a fault that ends by itself has ended, and all gateways admit again."""
        return self.fault_ends is None or (shared_ms() >= self.fault_ends and self.everyone_admits())

    def begin_fault(self) -> None:
        """Have the fault of this run begin."""
        fault = self.settings.fault
        if fault is Fault.REPLICA:
            self.submit("mid-change", 0)
            self.loop.after(MID_CHANGE_MS, self.kill_coordinator)
        elif fault is Fault.DISTRIBUTOR:
            self.kill(self.control("distributor", 1))
        elif fault is Fault.SILENT:
            silent = [child for child in self.gateways() if child.silent]
            self.for_a_while(silent, lambda child: child.popen.send_signal(signal.SIGSTOP), _go_on)
        elif fault is Fault.REGION:
            region = [child for child in self.children if child.config.host == region_host(self.operator.coordinator)]
            self.for_a_while(region, lambda child: self.tell(child, "cut"), lambda child: self.tell(child, "heal"))
        elif fault is Fault.START:
            self.restart_gateways()

    def control(self, role: str, number: int) -> Child:
        """Give a control process."""
        return next(child for child in self.children if child.config.role == role and child.config.number == number)

    def kill_coordinator(self) -> None:
        """Kill the replica that coordinates."""
        self.kill(self.control("replica", self.operator.coordinator))

    def for_a_while(self, children: list[Child], begin: Callable[[Child], None], end: Callable[[Child], None]) -> None:
        """Have a fault strike some processes, and end after its time; their gateways are excused."""
        from_ms = shared_ms()
        until_ms = from_ms + 1000.0 * self.settings.fault_s
        for child in children:
            begin(child)
        self.excuse([child for child in children if child.config.role == "gateways"], from_ms)
        self.fault_ends = until_ms
        self.loop.after(until_ms - from_ms, partial(self.end_fault, children, end))

    def end_fault(self, children: list[Child], end: Callable[[Child], None]) -> None:
        """Have a fault end."""
        for child in children:
            end(child)
        self.watch_return()

    def excuse(self, children: Iterable[Child], from_ms: float) -> None:
        """Excuse the gateways of some processes from now until they are back."""
        self.fault_began = from_ms
        for child in children:
            self.excused.extend(child.config.numbers)

    def excuses(self) -> list[Excused]:
        """Give who is excused, until all were seen to be back, or should have been."""
        if self.fault_ends is None:
            return []
        back_ms = min(RETURN_MS, self.returned_ms if self.returned_ms is not None else RETURN_MS)
        return [Excused(self.fault_began, self.fault_ends + back_ms, number) for number in self.excused]

    def restart_gateways(self) -> None:
        """Kill all gateways, and start as many at once."""
        found, at_ms = self.gateways(), shared_ms()
        for child in found:
            self.kill(child)
        self.excuse(found, at_ms)
        self.start_gateways()
        self.fault_ends = at_ms
        self.watch_return()

    def watch_return(self) -> None:
        """Take note of when all gateways admit again."""
        assert self.fault_ends is not None
        if self.returned_ms is not None:
            return
        since_ms = shared_ms() - self.fault_ends
        if since_ms > 300.0 and self.everyone_admits():  # not by what was told before the end of the fault
            self.returned_ms = since_ms
        else:
            self.loop.after(CHECK_MS, self.watch_return)

    # Figures

    def report(self) -> DistributionReport:
        """Read what all processes wrote, and work the figures out."""
        history: list[Observation] = [*self.operator.history, *self.excuses()]
        used: dict[str, list[Used]] = {}
        notes: dict[str, int] = {}
        counts: dict[str, int] = {}
        for place, (config, path) in enumerate(self.files):
            name = f"{config.role} {config.number}"
            if name in used:  # another process in the place of one that was killed
                name += f" ({place})"
            counts[name] = config.gateways
            for batch in read_batches(path):
                self.take_batch(batch, history, used.setdefault(name, []), notes)
        end_ms = max((samples[-1].at_ms for samples in used.values() if samples), default=0.0)
        verdict = judge(history, self.settings.gateways, end_ms, GRACE_MS)
        return self.figures(verdict, history, used, counts, notes)

    def take_batch(self, batch: Batch, history: list[Observation], used: list[Used], notes: dict[str, int]) -> None:
        """Take in what a process wrote at once."""
        used.append(batch.used)
        history.extend(sighting.observation() for sighting in batch.sightings)
        for note in batch.notes:
            kind = note.partition(":")[2].strip()[:80]
            notes[kind] = notes.get(kind, 0) + 1

    def figures(
        self,
        verdict: Verdict,
        history: list[Observation],
        used: dict[str, list[Used]],
        counts: dict[str, int],
        notes: dict[str, int],
    ) -> DistributionReport:
        """Put the figures together."""
        parts = {name: self.part(name, samples) for name, samples in used.items() if samples}
        gateways = [(counts[name], part) for name, part in parts.items() if name.startswith("gateways")]
        ended = self.operator.ended
        late = sorted(self.lateness.seen)
        busy, stolen = self.machine_shares()
        changes = [entry for entry in verdict.in_force if entry.version > 1]  # the first waits for the start
        complete = [entry for entry in changes if not entry.missing and entry.gateways]
        return DistributionReport(
            gateways=self.settings.gateways,
            fault=self.settings.fault.value,
            delay_ms=self.settings.delay_ms,
            seconds=(shared_ms() - self.began) / 1000.0,
            started_ms=self.started_ms,
            changes_submitted=self.submitted,
            changes_in_force=len(ended.in_force),
            changes_refused=len(ended.refused),
            changes_pending=len(self.operator.pending),
            submit_to_in_force_ms=times([entry.since_proposed_ms for entry in complete]),
            commit_to_in_force_ms=times([entry.took_ms for entry in complete]),
            without_lease_ms=times(gaps(history)),
            returned_ms=self.returned_ms,
            gateway=self.average(gateways, used),
            replicas=tuple(part for name, part in parts.items() if name.startswith("replica")),
            distributors=tuple(part for name, part in parts.items() if name.startswith("distributor")),
            connections_begun=sum(
                samples[-1].connections for name, samples in used.items() if name.startswith("gateways")
            ),
            machine_busy=busy,
            machine_stolen=stolen,
            operator_late_ms=quantile(late, 0.99),
            observations=verdict.observations,
            mistakes={mistake.value: count for mistake, count in verdict.counts.items()},
            missing=sum(bool(entry.missing) for entry in verdict.in_force),
            excused=max((entry.excused for entry in verdict.in_force), default=0),
            examples=tuple(finding.text for found in verdict.findings.values() for finding in found),
            notes=dict(sorted(notes.items(), key=lambda entry: -entry[1])[:12]),
        )

    def machine_shares(self) -> tuple[float, float]:
        """Give which shares of all processors were busy, and were taken away, while changes were made."""
        if self.windows.machine is None:
            return 0.0, 0.0
        began, ended = self.windows.machine
        total = max(1, ended.total - began.total)
        stolen = (ended.stolen - began.stolen) / total
        return 1.0 - (ended.idle - began.idle) / total - stolen, stolen

    def part(self, name: str, samples: list[Used]) -> Part:
        """Give what a process took."""
        return Part(
            name,
            samples[-1].resident_bytes / MIB,
            share(samples, *self.windows.rest),
            share(samples, *self.windows.changes),
        )

    def average(self, found: list[tuple[int, Part]], used: dict[str, list[Used]]) -> Part:
        """Give what one gateway takes on average; memory is beyond what its process takes without gateways."""
        total = max(1, self.settings.gateways)
        grown = sum(
            samples[-1].resident_bytes - samples[0].resident_bytes
            for name, samples in used.items()
            if name.startswith("gateways")
        )
        return Part(
            "gateway",
            grown / MIB / total,
            divided([part.at_rest for _, part in found], total),
            divided([part.in_changes for _, part in found], total),
        )


def times(values: list[float]) -> Times:
    """Give the quantiles of some times."""
    if not values:
        return Times(0, None, None, None)
    ordered = sorted(values)
    return Times(len(ordered), quantile(ordered, 0.5), quantile(ordered, 0.99), ordered[-1])


def gaps(history: list[Observation]) -> list[float]:
    """Give for how long each gateway admitted nothing between one version and the next."""
    last: dict[int, Admitted] = {}
    found: list[float] = []
    for seen in sorted((seen for seen in history if isinstance(seen, Admitted)), key=lambda seen: seen.at_ms):
        before = last.get(seen.gateway)
        if before is not None and before.version != seen.version:
            found.append(seen.at_ms - before.at_ms)
        last[seen.gateway] = seen
    return found


def share(samples: list[Used], from_ms: float, until_ms: float) -> Share:
    """Give what was used a second in a stretch of time, as far as there are samples in it."""
    within = [sample for sample in samples if from_ms <= sample.at_ms <= until_ms]
    if len(within) < 2:
        return Share(0.0, 0.0, 0.0, 0.0, 0.0)
    first, last = within[0], within[-1]
    seconds = (last.at_ms - first.at_ms) / 1000.0
    return Share(
        (last.processor_s - first.processor_s) / seconds,
        (last.bytes_in - first.bytes_in) / seconds,
        (last.bytes_out - first.bytes_out) / seconds,
        (last.messages_in - first.messages_in) / seconds,
        (last.messages_out - first.messages_out) / seconds,
    )


def divided(shares: list[Share], total: int) -> Share:
    """Give the sum of some shares divided by a number."""
    return Share(
        sum(share.core for share in shares) / total,
        sum(share.bytes_in_per_s for share in shares) / total,
        sum(share.bytes_out_per_s for share in shares) / total,
        sum(share.messages_in_per_s for share in shares) / total,
        sum(share.messages_out_per_s for share in shares) / total,
    )


def run(settings: DistributionSettings) -> DistributionReport:
    """Make a run (TooFewDescriptors, OSError)."""
    with tempfile.TemporaryDirectory(prefix="petrelhall-hollow-") as folder:
        distribution = DistributionRun(settings, folder)
        try:
            distribution.run()
        finally:
            distribution.end()
        return distribution.report()


def _go_on(child: Child) -> None:
    """Let a process that was stopped go on."""
    child.popen.send_signal(signal.SIGCONT)


def _nothing() -> None:
    """Do nothing: what a timer is for that only ends a wait."""
