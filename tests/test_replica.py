"""Control processes on sockets and disk, and the commands that operators use on them."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from petrelhall.accord.votes import VoterState
from petrelhall.cli.main import main as command
from petrelhall.configuration.deltas import Delta
from petrelhall.configuration.document import Document
from petrelhall.configuration.versions import Entry, VersionName
from petrelhall.distribution.learner import Learner, NoChecks, Notified, PutInForce, Tick
from petrelhall.distribution.timing import Timing
from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.stream import Address
from petrelhall.replica.settings import ControlFile, ControlFileError, parse, schema
from petrelhall.replica.storage import MOST_LOG_BYTES, Storage, StorageError
from petrelhall.replica.upstream import Upstream

MOST_S = 20.0  # that anything is waited for

# Files


def a_file(**fields: Any) -> bytes:
    """Give a replica's file."""
    known = {"role": "replica", "number": 0, "replicas": ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]}
    return json.dumps({**known, **fields}).encode()


def test_a_file_has_defaults_and_gives_timing() -> None:
    file = parse(a_file(lease_ms=900, whole_slots=3, kept_changes=7))
    assert file.listen_address == ("127.0.0.1", 1) and file.replica_addresses[2] == ("127.0.0.1", 3)
    assert (file.timing.lease_ms, file.timing.whole_slots, file.timing.kept_deltas) == (900, 3, 7)
    assert parse(a_file(role="distributor", number=9, listen="127.0.0.1:8")).listen_address == ("127.0.0.1", 8)


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"rol": 1}, "rol: unknown; did you mean 'role'?"),
        ({"role": "king"}, 'role: "king" cannot be used'),
        ({"number": 3}, "number: 3 is no place in replicas, which are 3"),
        ({"replicas": ["127.0.0.1:1"]}, 'replicas: ["127.0.0.1:1"] cannot be used'),
        ({"replicas": ["a", "b:1", "c:2"]}, "replicas[0]: 'a' is no HOST:PORT"),
        ({"replicas": ["a:1", "b:1", "a:1"]}, "replicas[2]: 'a:1' is there twice"),
        ({"listen": "a:1"}, "listen: a replica listens at its address in replicas"),
        ({"role": "distributor"}, "listen: '' is no HOST:PORT"),
        ({"role": "distributor", "listen": "127.0.0.1:1"}, "listen: '127.0.0.1:1' is a replica's"),
        ({"role": "distributor", "listen": "a:9", "folder": "x"}, "folder: a distributor keeps nothing"),
        ({"lease_ms": 1}, "lease_ms: 1 cannot be used"),
    ],
)
def test_what_cannot_be_used_is_told_in_one_line(fields: dict[str, Any], reason: str) -> None:
    with pytest.raises(ControlFileError) as found:
        parse(a_file(**fields))
    assert reason in str(found.value) and "\n" not in str(found.value)


def test_the_schema_names_every_field() -> None:
    assert set(json.loads(schema())["$defs"]["ControlFile"]["properties"]) == set(ControlFile.__struct_fields__)


def test_check_and_start_refuse_a_bad_file_with_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.json"
    path.write_bytes(a_file(number=7))
    result = CliRunner().invoke(command, ["config", "check", str(path)])
    assert result.exit_code == 2 and "number: 7" in result.output
    for arguments in ([], [str(path)], [str(tmp_path / "none.json")]):
        done = subprocess.run(
            [sys.executable, "-m", "petrelhall.replica", *arguments], capture_output=True, timeout=MOST_S, check=False
        )
        assert done.returncode == 2 and len(done.stderr.splitlines()) == 1, done.stderr
    path.write_bytes(a_file())
    assert CliRunner().invoke(command, ["config", "check", str(path)]).exit_code == 0


# Storage


def changes(count: int, value: bytes = b"v") -> tuple[Document, list[Delta]]:
    """Give a document and the changes that led to it."""
    document, found = Document(), []
    for number in range(1, count + 1):
        delta = document.delta(number, f"c{number}", (Entry(f"k{number % 3}", value + b"%d" % number),), ())
        document.apply(delta)
        found.append(delta)
    return document, found


def test_votes_come_back_as_they_were_kept(tmp_path: Path) -> None:
    storage = Storage(str(tmp_path), 2)
    assert storage.load_votes() is None
    memory = VoterState(3, b"d", 9, 9, b"v")
    storage.save_votes(memory, (b"one", b"two"))
    found = storage.load_votes()
    assert found is not None and (found.memory, found.documents) == (memory, (b"one", b"two"))


def test_spoilt_votes_and_those_of_another_replica_are_errors(tmp_path: Path) -> None:
    storage = Storage(str(tmp_path), 2)
    storage.save_votes(VoterState(), ())
    path = tmp_path / "replica-2-votes"
    (tmp_path / "replica-1-votes").write_bytes(path.read_bytes())
    with pytest.raises(StorageError, match="of form 1 and replica 2"):
        Storage(str(tmp_path), 1).load_votes()
    path.write_bytes(path.read_bytes()[:-1] + b"x")
    with pytest.raises(StorageError, match="checksum"):
        storage.load_votes()


def test_one_process_alone_holds_a_replicas_folder(tmp_path: Path) -> None:
    first = Storage(str(tmp_path), 2)
    with pytest.raises(StorageError, match="another process"):
        Storage(str(tmp_path), 2)
    os.close(first.lock)
    Storage(str(tmp_path), 2)
    with pytest.raises(StorageError, match="cannot open"):
        Storage(str(tmp_path / "none"), 2)


def test_content_comes_back_from_the_whole_and_the_changes_after_it(tmp_path: Path) -> None:
    storage = Storage(str(tmp_path), 0)
    assert storage.load_content().name.number == 0
    document, deltas = changes(9)
    half, _ = changes(4)
    storage.save_content(half, None)
    for delta in deltas:  # those before the whole do no harm
        storage.save_content(document, (delta,))
    found = storage.load_content()
    assert found.name == document.name and found.entries == document.entries


def test_content_comes_back_as_far_as_its_files_are_whole(tmp_path: Path) -> None:
    storage = Storage(str(tmp_path), 0)
    document, deltas = changes(5)
    for delta in deltas:
        storage.save_content(document, (delta,))
    log = tmp_path / "replica-0-changes"
    content = log.read_bytes()
    for length in range(len(content) + 1):
        log.write_bytes(content[:length])
        found = storage.load_content()
        assert found.name in (Document().name, *(delta.target for delta in deltas))
    log.write_bytes(content[:-1] + bytes([content[-1] ^ 1]))
    assert storage.load_content().name == deltas[3].target
    storage.save_content(document, None)
    whole = tmp_path / "replica-0-content"
    whole.write_bytes(whole.read_bytes()[:-1])
    assert storage.load_content().name.number == 0


def test_a_log_that_has_grown_is_written_anew_as_the_whole(tmp_path: Path) -> None:
    storage = Storage(str(tmp_path), 0)
    document, deltas = changes(7, bytes(MOST_LOG_BYTES // 4))
    for delta in deltas:
        storage.save_content(document, (delta,))
    assert (tmp_path / "replica-0-changes").stat().st_size <= MOST_LOG_BYTES
    assert storage.load_content().name == document.name


# Processes


def free_addresses(count: int) -> list[str]:
    """Give addresses that nobody uses; each is free for TCP and UDP."""
    found: list[str] = []
    held: list[socket.socket] = []
    while len(found) < count:
        tcp, udp = socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        tcp.bind(("127.0.0.1", 0))
        try:
            udp.bind(tcp.getsockname())
        except OSError:
            continue
        found.append(f"127.0.0.1:{tcp.getsockname()[1]}")
    for one in held:
        one.close()
    return found


class Gateway:
    """A learner's core on sockets, with no data plane."""

    def __init__(self, loop: Loop, number: int, distributors: list[Address]) -> None:
        self.loop, self.number = loop, number
        self.core = Learner(number, number + 1, Timing(), len(distributors), NoChecks(), number, now_ms())
        self.upstream = Upstream(loop, distributors, self.handle, lambda text: None)
        self.applied: list[int] = []
        self.notes: list[str] = []
        self.admitted: list[tuple[float, int]] = []
        loop.after(0.0, self.tick)

    def tick(self) -> None:
        """Let time pass."""
        self.loop.after(20.0, self.tick)
        self.handle(Tick())

    def handle(self, event: Any) -> None:
        """Give the core an event."""
        self.observe()
        for action in self.core.handle(now_ms(), event):
            if isinstance(action, PutInForce):
                self.applied.append(action.version.number)
            elif isinstance(action, Notified):
                self.notes.append(action.what)
            elif type(action).__name__ in ("Connect", "Disconnect", "SendWatch"):
                self.upstream.carry_out(action)
        self.observe()

    def observe(self) -> None:
        """Note what could be admitted."""
        now = now_ms()
        name = self.core.admits(now)
        if name is not None:
            self.admitted.append((now, name.number))

    def version(self) -> int:
        """Give the version under which it admits, -1 for none."""
        name: VersionName | None = self.core.admits(now_ms())
        return name.number if name is not None else -1


class Fleet:
    """Control processes in processes of their own, and gateways in this one."""

    def __init__(self, folder: Path, replicas: int, distributors: int, gateways: int) -> None:
        self.folder = folder
        addresses = free_addresses(replicas + distributors)
        self.replicas, self.distributors = addresses[:replicas], addresses[replicas:]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.log: list[str] = []
        self.loop = Loop(self.log.append)
        for number in range(replicas):
            self.write(f"replica-{number}", "replica", number, folder=str(folder))
        for number in range(distributors):
            self.write(f"distributor-{number}", "distributor", number, listen=self.distributors[number])
        ways = [tuple(text.split(":")) for text in self.distributors]
        served = [(host, int(port)) for host, port in ways]
        self.gateways = [
            Gateway(self.loop, number, served[number % distributors :] + served[: number % distributors])
            for number in range(gateways)
        ]

    def write(self, name: str, role: str, number: int, **fields: Any) -> None:
        """Write a process's file and start it."""
        content = {"role": role, "number": number, "replicas": self.replicas, **fields}
        (self.folder / f"{name}.json").write_text(json.dumps(content))
        self.start(name)

    def start(self, name: str) -> None:
        """Start a process."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "petrelhall.replica", str(self.folder / f"{name}.json")], stderr=log, stdout=log
            )

    def kill(self, name: str) -> None:
        """End a process at once."""
        process = self.processes.pop(name)
        process.kill()
        process.wait(MOST_S)

    def end(self) -> None:
        """End all, in order."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.processes.values():
            assert process.wait(MOST_S) == 0
        self.loop.epoll.close()

    def until(self, condition: Callable[[], bool]) -> None:
        """Have the gateways work until something is so."""
        until = time.monotonic() + MOST_S
        while not condition():
            assert time.monotonic() < until, (self.notes(), self.log)
            self.loop.after(20.0, lambda: None)
            self.loop.turn()

    def notes(self) -> list[str]:
        """Give what gateways and processes said."""
        said = [(path.name, path.read_text()[-500:]) for path in self.folder.glob("*.log")]
        return [note for gateway in self.gateways for note in gateway.notes] + [
            f"{name}: {text}" for name, text in said
        ]

    def put(self, change: str, entries: dict[str, Any], *options: str) -> subprocess.Popen[bytes]:
        """Begin to change the configuration, by the command."""
        path = self.folder / f"{change}.entries"
        path.write_text(json.dumps(entries))
        arguments = ["config", "put", str(path), *self.replicas, "--change", change, "--json", *options]
        code = "import sys; from petrelhall.cli.main import main; main(sys.argv[1:])"
        return subprocess.Popen([sys.executable, "-c", code, *arguments], stdout=subprocess.PIPE)

    def change(self, change: str, entries: dict[str, Any]) -> int:
        """Change the configuration; give the version once all gateways admit by it."""
        process = self.put(change, entries, "--wait", str(MOST_S))
        self.until(lambda: process.poll() is not None)
        assert process.stdout is not None
        outcome = json.loads(process.stdout.read())
        process.stdout.close()
        assert (process.returncode, outcome["state"]) == (0, "in force"), outcome
        version: int = outcome["version"]
        self.until(lambda: all(gateway.version() == version for gateway in self.gateways))
        return version

    def status(self) -> tuple[int, dict[str, Any]]:
        """Ask all control processes, by the command."""
        result = CliRunner().invoke(command, ["config", "status", *self.replicas, *self.distributors, "--json"])
        return result.exit_code, json.loads(result.output)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Give a fleet whose gateways hold a lease."""
    found = Fleet(tmp_path, 3, 2, 6)
    try:
        found.until(lambda: all(gateway.version() == 0 for gateway in found.gateways))
        yield found
    finally:
        found.end()


def assert_one_version_at_once(fleet: Fleet) -> None:
    """No gateway admitted by a version after any admitted by a later one."""
    latest = -1
    for _, version in sorted(one for gateway in fleet.gateways for one in gateway.admitted):
        assert version >= latest
        latest = version


def test_changes_reach_all_gateways_and_the_status_says_so(fleet: Fleet) -> None:
    assert fleet.change("a", {"text": "plain", "value": {"b": 1, "a": 2}}) == 1
    assert fleet.change("b", {"text": "other"}) == 2
    for gateway in fleet.gateways:
        assert gateway.core.document.entries == {"text": b"other", "value": b'{"a":2,"b":1}'}
        assert gateway.applied == [1, 2]
    code, found = fleet.status()
    assert code == 0 and found["agree"] and not found["missing"], found
    (leader,) = [view for view in found["views"].values() if view.get("leads")]
    assert leader["versions"] == {"2": 6} and leader["active"]["version"] == 2
    repeat = fleet.put("b", {"text": "again"})
    fleet.until(lambda: repeat.poll() is not None)
    assert repeat.stdout is not None and json.loads(repeat.stdout.read())["version"] == 2  # made once
    repeat.stdout.close()
    refused = fleet.put("c", {"text": "x"}, "--base", "1")
    fleet.until(lambda: refused.poll() is not None)
    assert refused.stdout is not None and refused.returncode == 1
    assert "made for version 1, active is 2" in json.loads(refused.stdout.read())["reason"]
    refused.stdout.close()
    assert_one_version_at_once(fleet)


def test_the_coordinator_killed_and_a_distributor_killed(fleet: Fleet) -> None:
    assert fleet.change("a", {"k": "1"}) == 1
    _, found = fleet.status()
    (leader,) = [view["replica"] for view in found["views"].values() if view.get("leads")]
    fleet.kill(f"replica-{leader}")
    assert fleet.change("b", {"k": "2"}) == 2
    fleet.kill("distributor-0")
    assert fleet.change("c", {"k": "3"}) == 3
    code, found = fleet.status()
    assert code == 1 and len(found["unanswered"]) == 2 and not found["agree"]
    fleet.start(f"replica-{leader}")
    fleet.start("distributor-0")
    fleet.until(lambda: fleet.status()[0] == 0)
    assert fleet.change("d", {"k": "4"}) == 4
    assert_one_version_at_once(fleet)


def test_all_replicas_restarted_at_once_come_back_with_what_was_decided(fleet: Fleet) -> None:
    assert fleet.change("a", {"k": "1"}) == 1
    for number in range(3):
        fleet.kill(f"replica-{number}")
    fleet.until(lambda: all(gateway.version() == -1 for gateway in fleet.gateways))
    for number in range(3):
        fleet.start(f"replica-{number}")
    fleet.until(lambda: all(gateway.version() == 1 for gateway in fleet.gateways))
    assert fleet.change("b", {"k": "2"}) == 2
    assert_one_version_at_once(fleet)


def test_a_stopped_distributor_and_a_second_process_at_its_address(fleet: Fleet) -> None:
    fleet.processes["distributor-1"].send_signal(signal.SIGSTOP)
    assert fleet.change("a", {"k": "1"}) == 1
    fleet.processes["distributor-1"].send_signal(signal.SIGCONT)
    done = subprocess.run(
        [sys.executable, "-m", "petrelhall.replica", str(fleet.folder / "distributor-1.json")],
        capture_output=True,
        timeout=MOST_S,
        check=False,
    )
    assert done.returncode == 2 and b"in use" in done.stderr
    assert fleet.change("b", {"k": "2"}) == 2
    assert_one_version_at_once(fleet)


def test_commands_without_anyone_to_answer(tmp_path: Path) -> None:
    (where,) = free_addresses(1)
    result = CliRunner().invoke(command, ["config", "status", where])
    assert result.exit_code == 1 and "NO ANSWER" in result.output and "no replica coordinates" in result.output
    entries = tmp_path / "entries.json"
    entries.write_text('{"a": "b"}')
    result = CliRunner().invoke(command, ["config", "put", str(entries), where, "--wait", "0.3"])
    assert result.exit_code == 3 and "not known" in result.output
    entries.write_text("[1]")
    assert CliRunner().invoke(command, ["config", "put", str(entries), where]).exit_code == 2
