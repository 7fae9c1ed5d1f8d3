"""Proxies that every link of a run passes: TCP and datagrams, with faults that change (asyncio)."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Any

Address = tuple[str, int]
TapDatagram = Callable[[bytes], None]

READ_BYTES = 65536
TRICKLE_BYTES = 16  # that are written at once on a slow link
NO_DELAY_S = (0.0, 0.0)
LINGER_AND_RESET = b"\1\0\0\0\0\0\0\0"  # struct linger: on, for 0 s


def format_address(address: Address) -> str:
    """As host:port."""
    host, port = address
    return f"{host}:{port}"


@dataclass
class LinkFaults:
    """What is wrong with one direction of a link now. Several faults may cut it or hold it at once."""

    cut_count: int = 0  # nothing passes; of TCP, connections end
    hold_count: int = 0  # nothing moves, nothing ends
    delay_s: tuple[float, float] = NO_DELAY_S  # from and to
    loss: float = 0.0  # of datagrams
    duplication: float = 0.0  # of datagrams
    trickle_bytes_per_s: int = 0  # 0: as they come
    released: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.released.set()

    def set_cut(self, on: bool) -> None:
        """Begins or ends one cut."""
        self.cut_count += 1 if on else -1

    def set_conditions(
        self, delay_s: tuple[float, float], *, loss: float = 0.0, duplication: float = 0.0
    ) -> None:
        """How datagrams fare from now on."""
        self.delay_s = delay_s
        self.loss = loss
        self.duplication = duplication

    def set_hold(self, on: bool) -> None:
        """Begins or ends one hold."""
        self.hold_count += 1 if on else -1
        if self.hold_count:
            self.released.clear()
        else:
            self.released.set()


class DatagramProxy(asyncio.DatagramProtocol):
    """One direction of a link: what comes to its address goes to `target`, once that is known."""

    def __init__(self, random: Random) -> None:
        self.faults = LinkFaults()
        self.target: Address | None = None
        self._random = random
        self._transport: Any = None
        self._held: list[bytes] = []
        self._tap: TapDatagram | None = None

    async def start(self) -> "DatagramProxy":
        """Binds a free port."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        return self

    def set_target(self, target: Address) -> None:
        """Where datagrams go from now on."""
        self.target = target

    def set_tap(self, tap: TapDatagram | None) -> None:
        """`tap` is called with all that comes from now on; None for none."""
        self._tap = tap

    @property
    def address(self) -> str:
        """The address that it listens at, as host:port."""
        return format_address(self._transport.get_extra_info("sockname"))

    def connection_made(self, transport: Any) -> None:
        """Part of asyncio's protocol."""
        self._transport = transport

    def datagram_received(self, data: bytes, _source: Any) -> None:
        """Forwards a datagram, as the faults of the link have it."""
        if self._tap is not None:
            self._tap(data)
        faults = self.faults
        if faults.cut_count:
            return
        if faults.hold_count:
            self._held.append(data)
            return
        for _ in range(self._copies()):
            delay_s = self._random.uniform(*faults.delay_s)
            if delay_s > 0:
                asyncio.get_running_loop().call_later(delay_s, self.forward, data)
            else:
                self.forward(data)

    def _copies(self) -> int:
        if self._random.random() < self.faults.loss:
            return 0
        return 2 if self._random.random() < self.faults.duplication else 1

    def error_received(self, exc: Exception) -> None:
        """Nobody listens at the target now."""

    def forward(self, data: bytes) -> None:
        """Sends a datagram to the target at once, whatever the faults."""
        if self.target is not None and not self._transport.is_closing():
            self._transport.sendto(data, self.target)

    def set_hold(self, on: bool) -> None:
        """Begins or ends one hold; what the last one held back goes on at once."""
        self.faults.set_hold(on)
        if not self.faults.hold_count:
            held = self._held
            self._held = []
            for data in held:
                self.forward(data)


class ConnectionProxy:
    """A TCP proxy to `target`, with faults of its own in each direction."""

    def __init__(self, random: Random, target: Address | None = None) -> None:
        self.forth = LinkFaults()
        self.back = LinkFaults()
        self._random = random
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        # Bound, never listening: keeps the port while nothing does, so that connections are refused there.
        self._placeholder = socket.socket()
        self._placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._placeholder.bind(("127.0.0.1", 0))
        self.address: Address = self._placeholder.getsockname()

    async def start(self) -> "ConnectionProxy":
        """Listens at its address."""
        self._server = await asyncio.start_server(self._accept, *self.address, reuse_port=True)
        return self

    def set_target(self, target: Address | None) -> None:
        """Where new connections go; None: they are reset."""
        self._target = target

    def share_faults(self, other: "ConnectionProxy") -> None:
        """From now on, faults of the other proxy's link are faults of this one's."""
        self.forth = other.forth
        self.back = other.back

    async def set_refusing(self, on: bool) -> None:
        """Connections are refused, as where no process listens: nothing of them is ever read."""
        if on and self._server is not None:
            self._server.close()
            self._server = None
        elif not on and self._server is None:
            await self.start()

    def set_cut(self, on: bool) -> None:
        """Resets open connections and new ones, as a router does before a host that is gone."""
        self.forth.set_cut(on)
        if self.forth.cut_count:
            self._reset()

    def set_hold(self, on: bool) -> None:
        """Begins or ends one hold, in both directions."""
        self.forth.set_hold(on)
        self.back.set_hold(on)

    def set_trickle(self, bytes_per_s: int) -> None:
        """Slows both directions down to this rate; 0: as fast as they are."""
        self.forth.trickle_bytes_per_s = bytes_per_s
        self.back.trickle_bytes_per_s = bytes_per_s

    def set_answer_delay(self, delay_s: tuple[float, float]) -> None:
        """Delays what comes back."""
        self.back.delay_s = delay_s

    def close(self) -> None:
        """Ends it and all its connections."""
        if self._server is not None:
            self._server.close()
        self._placeholder.close()
        self._reset()

    def _reset(self) -> None:
        for writer in list(self._writers):
            with suppress(OSError):
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_AND_RESET)
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.forth.cut_count or self._target is None:
            writer.transport.abort()
            return
        self._writers.add(writer)
        target_writer = None
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            self._writers.add(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, target_writer, self.forth))
                group.create_task(self._copy(target_reader, writer, self.back))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, target_writer):
                if each is not None:
                    self._writers.discard(each)
                    each.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, faults: LinkFaults
    ) -> None:
        """Copies one direction until its end, as its faults have it."""
        while data := await reader.read(READ_BYTES):
            await faults.released.wait()
            if faults.delay_s[1] > 0:
                await asyncio.sleep(self._random.uniform(*faults.delay_s))
            if faults.trickle_bytes_per_s:
                await self._trickle(data, writer, faults.trickle_bytes_per_s)
            else:
                writer.write(data)
            await writer.drain()
        await faults.released.wait()
        with suppress(OSError, RuntimeError):
            writer.write_eof()

    @staticmethod
    async def _trickle(data: bytes, writer: asyncio.StreamWriter, bytes_per_s: int) -> None:
        for position in range(0, len(data), TRICKLE_BYTES):
            writer.write(data[position : position + TRICKLE_BYTES])
            await asyncio.sleep(TRICKLE_BYTES / bytes_per_s)
