"""The two ends of the laboratory: AJP servers whose cores behave as described, and the callers' side
(asyncio)."""

import asyncio
import struct
from contextlib import suppress
from dataclasses import dataclass

from ochrehoist.net import ajp
from ochrehoist.plan.cores import Cores, Machine

PACKET = 8192
CROSSED_S = 0.05  # within which a pooled connection was closed as a request came


@dataclass(slots=True)
class Run:
    """One request as a server saw it. Times in s of the play."""

    server: str
    worker: str
    call: int
    attempt: int  # the caller's
    key: str
    began: float
    ended: float | None = None


async def read(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readexactly(ajp.HEADER_BYTES)
    return await reader.readexactly(int.from_bytes(head[2:], "big"))


class OnCores:
    """Work on the cores of one machine, in real time. Futures stand for what runs."""

    def __init__(self, machine: Machine, now: "Clock") -> None:
        self.machine, self.now = machine, now
        self.cores = Cores(machine, now())
        self.slow = 1.0  # times the work that comes
        self.timer: asyncio.TimerHandle | None = None

    def kick(self) -> None:
        now = self.now()
        for future in self.cores.advance(now):
            if not future.done():
                future.set_result(None)
        if self.timer is not None:
            self.timer.cancel()
        at = self.cores.next_end()
        if at is not None:
            self.timer = asyncio.get_running_loop().call_later(max(0.0, at - now), self.kick)

    async def work(self, seconds: float) -> None:
        """Done once the cores have done so much. Cancelled where the machine starts anew meanwhile."""
        future = asyncio.get_running_loop().create_future()
        self.cores.advance(self.now())
        self.cores.start(future, seconds * self.slow)
        self.kick()
        await future

    def cool(self) -> None:
        """The machine starts anew, and cold; what ran on it is lost."""
        if self.machine.cold_s:
            lost = list(self.cores.running)
            self.cores = Cores(self.machine, self.now(), cold=True)
            for future in lost:
                future.cancel()


class Server(OnCores):
    """One service below."""

    def __init__(self, name: str, machine: Machine, now: "Clock", runs: list[Run]) -> None:
        super().__init__(machine, now)
        self.name, self.runs = name, runs
        self.cuts, self.mute = False, False
        self.most_at_once = self.at_once = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> "Server":
        self.server = await asyncio.start_server(self._accepted, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(
            asyncio.IncompleteReadError, ConnectionError, ajp.MalformedPacketError, asyncio.CancelledError
        ):
            while True:
                packet = await read(reader)
                if packet[:1] == bytes((ajp.CPING,)):
                    if not self.mute:
                        writer.write(ajp.PONG_PACKET)
                    continue
                f = ajp.parse_forward(packet)
                left = f.length
                while left > 0:
                    piece = ajp.parse_request_chunk(await read(reader))
                    left -= len(piece)
                    if left > 0:
                        writer.write(ajp.encode_get_body(min(left, PACKET - 6)))
                if not await self._serve(f, writer):
                    break
        self.writers.discard(writer)
        writer.close()

    async def _serve(self, f: ajp.ForwardRequest, writer: asyncio.StreamWriter) -> bool:
        told = f.headers
        run = Run(
            self.name,
            told.get(b"x-worker", b"").decode(),
            int(told[b"x-call"]),
            int(told[b"x-attempt"]),
            told.get(b"idempotency-key", b"").decode(),
            self.now(),
        )
        self.runs.append(run)
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        try:
            if self.cuts:
                return False
            await self.work(float(told[b"x-work"]))
            run.ended = self.now()
            head = ajp.encode_headers(
                200, "OK", [(ajp.CONTENT_LENGTH, b"2"), (b"X-Served-By", self.name.encode())]
            )
            writer.write(ajp.encode_response(head, b"ok", PACKET, True))
            return True
        finally:
            self.at_once -= 1


class Clock:
    """s since the play began."""

    def __init__(self) -> None:
        self.began = asyncio.get_running_loop().time()

    def __call__(self) -> float:
        return asyncio.get_running_loop().time() - self.began


def request(method: str, uri: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A Forward Request, with its body's first packet."""
    named = {**headers} | ({"content-length": str(len(body))} if method == "POST" else {})
    out = bytes((ajp.FORWARD, ajp.METHODS.index(method)))
    out += b"".join(ajp.encode_string(t) for t in (b"HTTP/1.1", uri.encode(), b"127.0.0.1", b"lab", b"lab"))
    out += struct.pack(">HBH", 80, 0, len(named))
    out += b"".join(ajp.encode_string(n.encode()) + ajp.encode_string(v.encode()) for n, v in named.items())
    data = ajp.encode_packet(ajp.TO_CONTAINER, out + bytes((ajp.ATTRIBUTES_END,)))
    return data + (ajp.encode_request_chunk(body) if body else b"")


class Front:
    """Connections to one worker, as a balancer keeps them."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, data: bytes) -> int:
        """The status of the answer. ConnectionError where none came whole. One that crosses the close of an
        idle connection is sent once more, on a new one, as the platform's routers do."""
        began, pooled = asyncio.get_running_loop().time(), bool(self.idle)
        try:
            return await self._ask(data, self.idle.pop() if self.idle else None)
        except ConnectionError:
            if not pooled or asyncio.get_running_loop().time() - began > CROSSED_S:
                raise
            return await self._ask(data, None)

    async def _ask(self, data: bytes, pair: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None) -> int:
        if pair is None or pair[1].is_closing() or pair[0].at_eof():
            pair = await asyncio.open_connection(*self.address)
        reader, writer = pair
        status, whole = 0, False
        try:
            writer.write(data)
            while True:
                packet = await read(reader)
                if packet[0] == ajp.HEADERS:
                    status = int.from_bytes(packet[1:3], "big")
                elif packet[0] == ajp.END_RESPONSE:
                    whole = bool(packet[1])
                    return status
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("cut off before the answer was whole") from error
        finally:
            if whole:
                self.idle.append(pair)
            else:
                writer.close()
