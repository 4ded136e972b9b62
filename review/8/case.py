"""Case 8: slow servers. A large answer whose first bytes come in time is not cut off, in whatever form it comes."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))
from world import SETTINGS, TROUBLE, Attempt, Client, Discovery, Server, World, play  # noqa: E402

SIZE, PIECE, BYTES_PER_S = 262144, 1024, 64000.0  # 256 KiB in pieces of 1 KiB, 16 ms apart: 4.1 s
ASKED = [("check-conflicts", 2500), ("check-conflicts", 1250), ("view-schedule", 750)]  # class, X-Deadline in ms


class CutOff:
    """What the servers saw of the answers that they were giving."""

    def __init__(self) -> None:
        self.begun: dict[str, float] = {}  # when the first bytes of an answer to a request were given
        self.cut: dict[str, tuple[float, int]] = {}  # when the gateway closed in the middle, after how many bytes

    async def answer(self, server: Server, attempt: Attempt) -> None:
        attempt.writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n")
        piece = b"z" * PIECE
        for given in range(0, SIZE, PIECE):
            attempt.writer.write(b"%x\r\n%s\r\n" % (PIECE, piece))
            try:
                await attempt.writer.drain()
            except ConnectionError:
                pass
            if attempt.reader.at_eof():
                self.cut[attempt.id] = server.record(server.name, f"{attempt.id}: closed by the gateway after "
                                                     f"{given} of {SIZE} bytes"), given
                raise ConnectionError
            self.begun.setdefault(attempt.id, server.record.ms())
            if TROUBLE:
                await asyncio.sleep(PIECE / BYTES_PER_S)
        attempt.writer.write(b"0\r\n\r\n")
        await attempt.writer.drain()
        server.record(server.name, f"gave all of its answer to {attempt.id}")


async def case(world: World) -> list[str]:
    record, seen = world.record, CutOff()
    servers = [await Server(f"s-{n}", record, behave=seen.answer).start() for n in range(5)]
    discovery = await Discovery(record, servers).start()
    gateway = world.gateway(discovery, SETTINGS)
    gateway.start()
    await gateway.until_ready()
    await asyncio.sleep(2.0)

    async def ask(number: int, request_class: str, deadline_ms: int) -> str:
        name = f"large-{number}"
        client = await Client(world, gateway.address).open()
        status, body, sent, ended = await client.ask(name, request_class, deadline_ms=deadline_ms)
        if status == "200" and body == b"z" * SIZE:
            return ""
        await asyncio.sleep(0.5)  # until the servers have seen their connections end
        if name not in seen.cut or seen.begun.get(name, float("inf")) > sent + deadline_ms:
            return ""  # no server was giving an answer whose first bytes were in time
        return (f"{name} ({request_class}, {deadline_ms} ms): first bytes given after {seen.begun[name] - sent:.0f} ms, "
                f"cut off by the gateway after {seen.cut[name][1]} of {SIZE} bytes; the client got {status} "
                f"after {ended - sent:.0f} ms")

    found = []
    for number, (request_class, deadline_ms) in enumerate(ASKED):  # one after the other: nobody is in a hurry
        found.append(await ask(number, request_class, deadline_ms))
        await asyncio.sleep(0.5)
    return [line for line in found if line]


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
