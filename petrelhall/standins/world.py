"""Real gateways with stand-ins all round them, on loopback: one run, from start to its figures."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from petrelhall.standins.box import Box, Model
from petrelhall.standins.counter import Counter
from petrelhall.standins.crowd import Crowd, Demand
from petrelhall.standins.discovery import Discovery
from petrelhall.standins.faults import Fault, Script
from petrelhall.standins.judge import Judge
from petrelhall.standins.network import Network
from petrelhall.standins.wire import text

READY_S, END_S = 10.0, 8.0
TOLD_S, KILL_S = 0.05, 3.0 + 0.7  # SIGTERM after the new process is ready; SIGKILL after that
LEARN_S = 30.0  # after which stale attempts count as those of a gateway that had time to learn
LATE_S = 0.5  # by which discovery tells late of what happens to boxes
TICKS_S = os.sysconf("SC_CLK_TCK")
# Gateways are started again at the addresses that they had: on a host of its own a run finds nobody else there.
HOST = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.1"
FIGURE = re.compile(r"([a-z_.]+)=(\d+)")


@dataclass
class Setup:
    """What a run is made of."""

    seconds: float = 20.0
    boxes: int = 6
    gateways: int = 2
    demand: Demand = field(default_factory=Demand)
    script: Script = field(default_factory=Script)
    model: Model = field(default_factory=Model)
    seed: int = 1
    operator: str = ""  # path of the operators' file
    program: str = ""  # folder of the checkout whose gateway runs; this one where empty
    sockets: int = 1024
    kinds: tuple[str, ...] = ("m1",)  # what discovery says of the boxes, in turn
    speak: bool = True  # whether gateways may send each other messages
    counters: int = 1  # that gateways in turn are led to; several hold the same numbers until they are split
    upgrades: int = 0  # of gateways in turn, spread over the run: a second process starts beside the first


def settings(gateways: int, position: int, deadline_ms: float, speak: bool = True) -> dict[str, Any]:
    """Word the settings of a run as the platform's object."""
    aim = deadline_ms / 3.0
    return {
        "Areas": ["room-a"],
        "Balancers": gateways,
        "Position": position,
        "Grades": [
            {
                "Name": name,
                "Effect": effect,
                "Group": "all",
                "PromiseMs": aim,
                "DeadlineMs": deadline_ms,
                "WindowMs": 1200.0,
                "LateWorth": 0.2,
            }
            for name, effect in (("view-schedule", "repeatable"), ("enroll-change", "by_key"))
        ],
        "Packages": [
            {"Name": "district", "QuotaRate": 40.0, "Depth": 60.0},
            {
                "Name": "large-district",
                "QuotaRate": 80.0,
                "Depth": 120.0,
                "Parallel": 16,
                "NeverOverRate": 150.0,
                "CapDepth": 220.0,
                "CeilingSlack": 0.1,
            },
        ],
        "FamilyInfo": {"SharedCounter": True, "CountWaitMs": 80.0, "Largest": 1, "MailPerS": 100.0},
        "Limits": {
            "Cancel": True,
            "MaxAttempts": 5,
            "RetryAfter": True,
            "MaxRetryAfterMs": 2000.0,
            "ConnIdleMs": 30000.0,
            "ConnectTimeoutMs": 250.0,
            "MayTell": speak and gateways > 1,
        },
        "Rules": {"DrainGraceMs": 1000.0, "ColdFrom": 0.25, "ColdMs": 10000.0, "OverloadFactor": 2.5, "FallMs": 1000.0},
        "Report": {"Source": "piggyback", "Names": ["rif", "rate"]},
    }


class GatewayProcess:
    """One gateway's process."""

    def __init__(self, number: int, folder: str, config: dict[str, Any], operator: str, program: str) -> None:
        self.number, self.config = number, config
        self.path, self.log_path = os.path.join(folder, f"n{number}.json"), os.path.join(folder, f"n{number}.log")
        with open(self.path, "w") as file:
            json.dump(config, file)
        self.command = [sys.executable, "-m", "petrelhall", *(["--operator", operator] if operator else [])]
        # A process of an upgrade finds what the one before left there.
        scratch = os.path.join(folder, f"n{number}")
        os.makedirs(scratch, exist_ok=True)
        self.environment = {**os.environ, "EDGE_CONFIG": self.path, "TMPDIR": scratch}
        self.mgmt = ""  # where its newest process takes operators' calls
        self.folder = os.path.abspath(program or os.getcwd())
        if program:
            self.environment["PYTHONPATH"] = self.folder
        self.cpu_s, self.memory_mb = 0.0, 0.0
        self.process: subprocess.Popen[bytes] | None = None
        self.read = 0  # bytes of its log
        self.turns: list[tuple[float, dict[str, Any]]] = []  # what it said of a move between pools, and when

    def start(self) -> None:
        """Start it."""
        self.mgmt = text(free_port())
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.command,
                env={**self.environment, "EDGE_MGMT": self.mgmt},
                cwd=self.folder,
                stderr=log,
                stdout=subprocess.DEVNULL,
            )

    async def upgrade(self) -> str:
        """Start another process beside this one, and end this one once that is ready; tell what went wrong."""
        old = self.process
        assert old is not None
        self.start()
        host, _, port = self.mgmt.rpartition(":")
        try:
            await ready((host, int(port)), "/control/ready")
        except TimeoutError as error:
            return str(error)
        await asyncio.sleep(TOLD_S)
        if old.poll() is None:
            old.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.to_thread(old.wait, KILL_S)
        except subprocess.TimeoutExpired:
            old.kill()
            await asyncio.to_thread(old.wait)
            return "the old process did not end in its time"
        return f"the old process ended with {code}" if code else ""

    def measure(self) -> None:
        """Read CPU and memory so far."""
        assert self.process is not None
        try:
            with open(f"/proc/{self.process.pid}/stat") as file:
                parts = file.read().rpartition(")")[2].split()
            with open(f"/proc/{self.process.pid}/status") as file:
                peak = re.search(r"VmHWM:\s+(\d+)", file.read())
        except OSError:
            return
        self.cpu_s = (int(parts[11]) + int(parts[12])) / TICKS_S
        self.memory_mb = int(peak[1]) / 1024.0 if peak else 0.0

    def end(self) -> int:
        """End it as planned; give its exit code, or -9 where it had to be killed."""
        assert self.process is not None
        self.measure()
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(END_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return -9

    def read_log(self) -> list[str]:
        """Give the lines that it has written since the last look."""
        with open(self.log_path, errors="replace") as file:
            file.seek(self.read)
            text = file.read()
        whole = text[: text.rfind("\n") + 1]
        self.read += len(whole.encode())
        lines = whole.splitlines()
        for line in lines:
            place = line.find(": shift {")
            if place >= 0 and '"log_wealth"' not in line:
                self.turns.append((time.monotonic(), json.loads(line[place + 8 :])))
        return lines

    def counts(self) -> dict[str, int]:
        """Give the counters that it printed at its end."""
        found: dict[str, int] = {}
        with open(self.log_path, errors="replace") as file:
            for line in file:
                if ": counts " in line or ": links open=" in line:
                    found.update({name: int(count) for name, count in FIGURE.findall(line)})
        return found


class World:
    """One run."""

    def __init__(self, setup: Setup, each_second: Callable[[World], None] | None = None) -> None:
        self.setup, self.each_second = setup, each_second
        self.judge, self.discovery = Judge(), Discovery()
        self.counters = [Counter() for _ in range(setup.counters)]
        self.boxes: list[Box] = []
        self.gone: list[Box] = []
        self.gateways: list[GatewayProcess] = []
        self.crowd: Crowd | None = None
        self.network: Network | None = None
        self.began = 0.0
        self.stale_early = self.attempts_early = 0
        self.made = 0
        self.upgrades: list[str] = []  # what went wrong at each, empty where nothing did

    # Putting together

    def add_box(self, cold: bool, address: tuple[str, int] | None = None) -> Box:
        """Start a box of a new name."""
        box = Box(f"s-{self.made:03d}", self.judge, self.setup.seed, self.setup.model)
        box.kind = self.setup.kinds[self.made % len(self.setup.kinds)]
        self.made += 1
        if address is not None:
            box.address = address
        box.start(cold)
        return box

    def tell(self, box: Box, state: str = "Ready") -> None:
        """Have discovery tell of a box, a little late."""

        def put() -> None:
            if state == "Terminating":
                box.drain()
            self.discovery.put(box.name, box.address, state, box.started_unix_ms, kind=box.kind)

        if self.began:
            asyncio.get_running_loop().call_later(LATE_S, put)
        else:
            put()

    async def start_boxes(self) -> None:
        """Start boxes and the discovery that lists them."""
        for _ in range(self.setup.boxes):
            self.boxes.append(self.add_box(False))
            self.tell(self.boxes[-1])
        await self.discovery.start()

    async def start(self, folder: str) -> None:
        """Start everything, and wait until all gateways are ready."""
        setup = self.setup
        await self.start_boxes()
        for counter in self.counters:
            counter.numbers = self.counters[0].numbers
            await counter.start()
        listen, mail = [free_port() for _ in range(setup.gateways)], [free_datagram() for _ in range(setup.gateways)]
        network = self.network = Network(mail, setup.seed)
        await network.start()
        for number in range(setup.gateways):
            config = {
                "name": f"n{number}",
                "listen": text(listen[number]),
                "discovery": text(self.discovery.address),
                "seed": f"{setup.seed * 1000 + number:x}",
                "limits": {"sockets": setup.sockets},
                "peer_listen": text(mail[number]),
                "peers": network.peers,
                "peers_all": text(network.address),
                "counter": text(self.counters[number % len(self.counters)].address),
                "known": self.discovery.whole(),
                "settings": settings(setup.gateways, number, setup.demand.deadline_ms, setup.speak),
            }
            self.gateways.append(GatewayProcess(number, folder, config, setup.operator, setup.program))
            self.gateways[-1].start()
        for address in listen:
            await ready(address)
        self.crowd = Crowd(setup.demand, self.judge, listen, ["district", "large-district"], setup.seed)

    async def run(self) -> dict[str, Any]:
        """Make the run, end everything and give its figures."""
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self.start(folder)
                assert self.crowd is not None
                self.began = time.monotonic()
                others = [asyncio.create_task(work) for work in (self.play(), self.watch(), self.upgrade())]
                await self.crowd.run(self.setup.seconds)
                await self.last()
                for task in others:
                    task.cancel()
                for ended in await asyncio.gather(*others, return_exceptions=True):
                    if isinstance(ended, Exception):
                        raise ended  # a run whose faults did not happen as written proves nothing
            finally:
                codes = await asyncio.gather(
                    *(asyncio.to_thread(gateway.end) for gateway in self.gateways if gateway.process)
                )
                for box in self.boxes:
                    box.stop()
                if self.network is not None:
                    self.network.stop()
            return self.report(list(codes))

    def heard(self, gateway: GatewayProcess, lines: list[str]) -> None:
        """Take in what a gateway has written."""

    async def last(self) -> None:
        """Do what is to be done before the gateways end."""

    async def play(self) -> None:
        """Carry out the fault script."""
        for fault in sorted(self.setup.script.faults, key=lambda fault: fault.at_s):
            pause = self.began + fault.at_s - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            if fault.do == "add":
                self.boxes.append(self.add_box(True))
                self.tell(self.boxes[-1])
            elif fault.do == "kill_gateway":
                await self.kill(fault.gateway, restart=False)
            elif fault.do == "restart_gateway":
                await self.kill(fault.gateway, restart=True)
            else:
                for number in fault.boxes or range(len(self.boxes)):
                    if number < len(self.boxes):
                        self.strike(fault, number)

    async def upgrade(self) -> None:
        """Upgrade the gateways in turn, spread over the run."""
        for number in range(self.setup.upgrades):
            pause = self.began + self.setup.seconds * (number + 0.5) / self.setup.upgrades - time.monotonic()
            await asyncio.sleep(max(0.0, pause))
            self.upgrades.append(await self.gateways[number % len(self.gateways)].upgrade())

    def strike(self, fault: Fault, number: int) -> None:
        """Have one thing happen to one box."""
        box = self.boxes[number]
        if fault.do == "idle_limit":
            box.set(idle_s=(fault.low_s, max(fault.low_s, fault.high_s)) if fault.low_s else None, idle_mode=fault.mode)
        elif fault.do == "slow":
            box.set(slow=fault.factor)
        elif fault.do in ("refuse", "hang", "mute"):
            box.set(**{str(fault.do): True})
        elif fault.do == "cap":
            box.set(cap=fault.count)
        elif fault.do == "break":
            box.set(break_share=fault.share)
        elif fault.do == "heal":
            box.set(slow=1.0, refuse=False, hang=False, mute=False, cap=0, break_share=0.0, idle_s=None)
        elif fault.do == "drain":
            self.tell(box, "Terminating")
        elif fault.do == "undrain":
            box.drained_at = None
            self.tell(box)
        elif fault.do in ("crash", "restart"):
            box.stop()
            pause = 2.0 if fault.do == "crash" else 0.2
            asyncio.get_running_loop().call_later(pause, self.come_back, box)
        elif fault.do == "replace":  # another box at the address of one that has gone
            box.stop()
            self.gone.append(box)
            self.tell(box, "Gone")
            new = self.boxes[number] = self.add_box(True, box.address)
            new.faults = box.faults
            self.tell(new)

    def come_back(self, box: Box) -> None:
        """Start a box again where it was, cold."""
        box.start(cold=True)
        self.tell(box)

    async def kill(self, number: int, restart: bool) -> None:
        """Kill a gateway outright, and start it again."""
        assert self.crowd is not None
        gateway = self.gateways[number]
        self.crowd.down.add(number)
        assert gateway.process is not None
        gateway.measure()
        gateway.process.kill()
        await asyncio.to_thread(gateway.process.wait)
        if restart:
            gateway.start()
            host, _, port = gateway.config["listen"].rpartition(":")
            await ready((host, int(port)))
            self.crowd.down.discard(number)

    async def watch(self) -> None:
        """Look on, once a second."""
        while True:
            for _ in range(10):
                await asyncio.sleep(0.1)
                for gateway in self.gateways:
                    self.heard(gateway, gateway.read_log())
            if not self.stale_early and not self.attempts_early and time.monotonic() - self.began >= LEARN_S:
                self.stale_early = self.judge.seen["stale_attempts"]
                self.attempts_early = self.judge.seen["attempts"]
            for gateway in self.gateways:
                gateway.measure()
            if self.each_second is not None:
                self.each_second(self)

    # Figures

    def report(self, codes: list[int]) -> dict[str, Any]:
        """Give the run's figures."""
        assert self.crowd is not None
        seen, crowd, told = self.judge.report(), self.crowd.summary(), [g.counts() for g in self.gateways]
        boxes = self.boxes + self.gone

        def total(prefix: str) -> int:
            return sum(count for counts in told for name, count in counts.items() if name.startswith(prefix))

        attempts = seen.get("attempts", 0)
        later = attempts - self.attempts_early
        opened = sum(box.seen.opened for box in boxes)
        return {
            **crowd,
            "attempts": attempts,
            **{
                name: seen.get(name, 0)
                for name in (
                    "served",
                    "refused",
                    "failed",
                    "unanswered",
                    "lost",
                    "crossed",
                    "unreached",
                    "spoilt",
                    "late",
                    "keys_run_twice",
                )
            },
            "upgrades": len(self.upgrades),
            "upgrades_wrong": [wrong for wrong in self.upgrades if wrong],
            "broken": seen["broken"],
            "examples": seen["examples"],
            "exit_codes": codes,
            "stale_after_learning_per_1000": round(
                1000.0 * (seen.get("stale_attempts", 0) - self.stale_early) / max(1, later), 3
            ),
            "connections_per_1000": round(1000.0 * opened / max(1, crowd["requests"]), 2),
            "gateway_counts": {name: total(name) for name in sorted({name for counts in told for name in counts})},
            # The figures that every soak ends with:
            "final_answers": seen["final_answers"],
            "failed_on_stale": seen.get("failed_on_stale", 0),
            "stale_attempts": seen.get("stale_attempts", 0),
            "opened": opened,
            "opened_ahead": total("opened.ahead"),
            "retired": total("retired."),
            "peak_by_box": {box.name: box.seen.peak for box in boxes},
            "cold_opened_first_s": max((box.seen.by_second[0] for box in boxes if box.started), default=0),
            "cpu_ms_per_request": round(
                1000.0 * sum(gateway.cpu_s for gateway in self.gateways) / max(1, crowd["requests"]), 3
            ),
            "memory_mb": round(max((gateway.memory_mb for gateway in self.gateways), default=0.0), 1),
        }


def free_port() -> tuple[str, int]:
    """Give an address on loopback that nobody listens at."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        found: tuple[str, int] = sock.getsockname()
        return found


def free_datagram() -> tuple[str, int]:
    """Give an address on loopback for datagrams."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((HOST, 0))
        found: tuple[str, int] = sock.getsockname()
        return found


async def ready(address: tuple[str, int], path: str = "/healthz") -> None:
    """Wait until a gateway says that it is ready (TimeoutError where it does not)."""
    until = time.monotonic() + READY_S
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            status = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            if b" 200 " in status:
                return
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.05)
    raise TimeoutError(f"gateway at {text(address)} did not become ready")
