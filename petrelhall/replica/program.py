"""``python -m petrelhall.replica FILE``: one control process, until it is told to end."""

from __future__ import annotations

import errno
import gc
import os
import select
import signal
import sys

from petrelhall.net.counts import Counts
from petrelhall.net.log import Log
from petrelhall.net.loop import Loop
from petrelhall.net.stream import is_address_in_use
from petrelhall.replica.distributor import DistributorProcess
from petrelhall.replica.replica import ReplicaProcess
from petrelhall.replica.settings import ControlFile, ControlFileError, read
from petrelhall.replica.storage import StorageError

GARBAGE = 20000  # objects made and not freed between two looks for cycles
UNUSABLE = 2


def start(loop: Loop, file: ControlFile, log: Log) -> ReplicaProcess | DistributorProcess:
    """Start what the file says (OSError, StorageError)."""
    if is_address_in_use(file.listen_address):
        raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
    counts, seed = Counts(), int.from_bytes(os.urandom(4), "big")
    if file.role == "replica":
        return ReplicaProcess(loop, file, counts, log.write, seed)
    return DistributorProcess(loop, file, counts, log.write, seed)


def stop_on_signals(loop: Loop) -> None:
    """Have SIGTERM and SIGINT end the loop after its turn."""
    wake, woken = os.pipe()
    for end in (wake, woken):
        os.set_blocking(end, False)
    signal.set_wakeup_fd(woken, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)  # the loop is woken through the pipe
    loop.register(wake, select.EPOLLIN, lambda mask: loop.stop())


def main(arguments: list[str]) -> int:
    """Run one control process."""
    if len(arguments) != 1:
        print("usage: python -m petrelhall.replica FILE", file=sys.stderr)
        return UNUSABLE
    try:
        file = read(arguments[0])
        log = Log(f"{file.role} {file.number}")
        loop = Loop(log)
        stop_on_signals(loop)
        process = start(loop, file, log)
    except (ControlFileError, StorageError) as error:
        print(f"petrelhall: {error}", file=sys.stderr)
        return UNUSABLE
    except OSError as error:
        print(f"petrelhall: {':'.join(map(str, file.listen_address))}: {error.strerror}", file=sys.stderr)
        return UNUSABLE
    gc.set_threshold(GARBAGE)
    loop.run()
    return 1 if isinstance(process, ReplicaProcess) and process.failed else 0
