"""One process of a run of the distribution: ``python -m petrelhall.hollow.process CONFIG`` (JSON).

It is told by lines on its standard input: ``cut``, ``heal`` and ``stop``; it ends by itself when that is closed. A
process of gateways tells by lines on its standard output how many admit, and from which version on.
"""

from __future__ import annotations

import gc
import os
import select
import socket
import sys

import msgspec

from petrelhall.distribution.timing import Timing
from petrelhall.hollow.control import DistributorShell, ReplicaShell
from petrelhall.hollow.learners import SAMPLE_MS, LearnerShell
from petrelhall.hollow.network import Network
from petrelhall.hollow.recorder import Recorder
from petrelhall.net.log import Log
from petrelhall.net.loop import Loop
from petrelhall.net.stream import Address

STATUS_MS = 100.0


class ProcessConfig(msgspec.Struct, frozen=True):
    """What a process is to be; descriptors are of sockets that its parent has bound."""

    role: str  # "replica", "distributor" or "gateways"
    number: int  # of the replica or distributor, or of the first gateway
    host: str  # the address of its region
    file: str  # where it writes what it saw
    seed: int
    delay_ms: float
    replicas: tuple[Address, ...]
    distributors: tuple[Address, ...]  # for gateways: the preferred first
    gateways: int = 0
    step: int = 1  # between the numbers of its gateways
    listener: int = -1
    datagrams: int = -1
    folder: str = ""


class Process:
    """One process."""

    def __init__(self, config: ProcessConfig) -> None:
        self.config = config
        self.loop = Loop(Log(f"hollow {config.role} {config.number}"))
        self.network = Network(self.loop, config.host, config.delay_ms)
        self.recorder = Recorder(self.loop, config.file, self.network.traffic)
        self.parts = self.start()
        self.told = ""
        self.loop.register(sys.stdin.fileno(), select.EPOLLIN, self.on_command)
        if config.role == "gateways":
            self.loop.after(SAMPLE_MS, self.sample)
            self.loop.after(STATUS_MS, self.tell_status)

    def start(self) -> list[LearnerShell | ReplicaShell | DistributorShell]:
        """Start the parts of this process."""
        config, timing = self.config, Timing()
        if config.role == "replica":
            return [
                ReplicaShell(
                    self.network,
                    self.recorder,
                    config.number,
                    timing,
                    config.replicas,
                    socket.socket(fileno=config.listener),
                    socket.socket(fileno=config.datagrams),
                    config.folder,
                    config.seed,
                )
            ]
        if config.role == "distributor":
            listener = socket.socket(fileno=config.listener)
            return [
                DistributorShell(
                    self.network, self.recorder, config.number, timing, config.replicas, listener, config.seed
                )
            ]
        incarnation = int.from_bytes(os.urandom(4), "big") >> 1 | 1
        self.recorder.flush()  # what the process takes without a gateway
        return [
            LearnerShell(
                self.network,
                self.recorder,
                number,
                incarnation,
                timing,
                config.distributors,
                config.seed * 1_000_003 + number,
            )
            for number in range(config.number, config.number + config.gateways * config.step, config.step)
        ]

    def sample(self) -> None:
        """Have every gateway decide on a request."""
        self.loop.after(SAMPLE_MS, self.sample)
        for part in self.parts:
            if isinstance(part, LearnerShell):
                part.observe()

    def tell_status(self) -> None:
        """Tell how many gateways admit and from which version on, where that is news."""
        self.loop.after(STATUS_MS, self.tell_status)
        versions = [
            part.serving.number for part in self.parts if isinstance(part, LearnerShell) and part.serving is not None
        ]
        told = f"{len(versions)} {min(versions, default=-1)}\n"
        if told != self.told:
            self.told = told
            os.write(sys.stdout.fileno(), told.encode())

    def on_command(self, mask: int) -> None:
        """Do as the parent says."""
        for command in os.read(sys.stdin.fileno(), 4096).decode().split() or ["stop"]:
            if command in ("cut", "heal"):
                self.network.cut = command == "cut"
            elif command == "stop":
                for part in self.parts:
                    part.finish()
                self.recorder.flush()
                self.loop.stop()

    def run(self) -> None:
        """Work until told to stop."""
        self.loop.run()


def main() -> None:
    """Run the process that the first argument describes."""
    config: ProcessConfig = msgspec.json.decode(sys.argv[1], type=ProcessConfig)
    gc.set_threshold(20000)  # as the gateway's program has it
    Process(config).run()


if __name__ == "__main__":
    main()
