"""One process of a run of the distribution: ``python -m petrelhall.hollow.process CONFIG`` (JSON).

It is told by lines on its standard input: ``cut``, ``heal`` and ``stop``; it ends by itself when that is closed. A
process of gateways tells by lines on its standard output how many admit, and from which version on.
"""

from __future__ import annotations

import gc
import os
import select
import sys
from typing import Literal

import msgspec

from petrelhall.hollow.control import WatchedReplica
from petrelhall.hollow.learners import SAMPLE_MS, HollowLearner
from petrelhall.hollow.network import Network, install
from petrelhall.hollow.recorder import Recorder
from petrelhall.net.counts import Counts
from petrelhall.net.log import Log
from petrelhall.net.loop import Loop
from petrelhall.replica.distributor import DistributorProcess
from petrelhall.replica.settings import ControlFile

STATUS_MS = 100.0
GARBAGE = 20000  # objects made and not freed between two looks for cycles, as the gateway's program has it


class ProcessConfig(msgspec.Struct, frozen=True):
    """What a process is to be; addresses are HOST:PORT."""

    role: Literal["replica", "distributor", "gateways"]
    number: int  # of the replica or distributor, or of the first gateway
    host: str  # the address of its region
    file: str  # where it writes what it saw
    seed: int
    delay_ms: float
    replicas: tuple[str, ...]
    distributors: tuple[str, ...]
    gateways: int = 0
    step: int = 1  # between the numbers of its gateways
    folder: str = ""  # of a replica

    @property
    def numbers(self) -> range:
        """Give the numbers of its gateways."""
        return range(self.number, self.number + self.gateways * self.step, self.step)


class Process:
    """One process."""

    def __init__(self, config: ProcessConfig) -> None:
        self.config = config
        self.loop = Loop(Log(f"hollow {config.role} {config.number}"))
        self.network = Network(self.loop, config.host, config.delay_ms)
        install(self.network)
        self.recorder = Recorder(self.loop, config.file, self.network.traffic)
        self.learners: list[HollowLearner] = []
        self.control: WatchedReplica | DistributorProcess | None = None
        if config.role == "gateways":
            self.start_gateways()
        else:
            self.control = self.start_control()
        self.told = ""
        self.loop.register(sys.stdin.fileno(), select.EPOLLIN, self.on_command)

    def start_control(self) -> WatchedReplica | DistributorProcess:
        """Start a replica or a distributor."""
        config = self.config
        if config.role == "replica":
            file = ControlFile("replica", config.number, config.replicas, folder=config.folder)
            return WatchedReplica(self.loop, file, self.network, self.recorder, config.seed)
        listen = config.distributors[config.number]
        file = ControlFile("distributor", config.number, config.replicas, listen=listen)
        return DistributorProcess(self.loop, file, Counts(), self.recorder.note, config.seed)

    def start_gateways(self) -> None:
        """Start gateways."""
        self.recorder.flush()  # what the process takes without a gateway
        self.learners = [
            HollowLearner(self.loop, self.recorder, number, self.config.distributors) for number in self.config.numbers
        ]
        self.loop.after(SAMPLE_MS, self.sample)
        self.loop.after(STATUS_MS, self.tell_status)

    def sample(self) -> None:
        """Have every gateway decide on a request."""
        self.loop.after(SAMPLE_MS, self.sample)
        for learner in self.learners:
            learner.observe()

    def tell_status(self) -> None:
        """Tell how many gateways admit and from which version on, where that is news."""
        self.loop.after(STATUS_MS, self.tell_status)
        versions = [learner.serving.number for learner in self.learners if learner.serving is not None]
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
                for learner in self.learners:
                    learner.finish()
                self.recorder.flush()
                self.loop.stop()


def main() -> None:
    """Run the process that the first argument describes."""
    config: ProcessConfig = msgspec.json.decode(sys.argv[1], type=ProcessConfig)
    gc.set_threshold(GARBAGE)
    Process(config).loop.run()


if __name__ == "__main__":
    main()
