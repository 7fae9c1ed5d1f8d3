"""A caller's way to one worker: AJP over pooled connections, as a balancer keeps them (asyncio)."""

import asyncio
import struct
from typing import Protocol

from ochrehoist.lab.outcomes import Call
from ochrehoist.lab.stand_in_service import (
    ATTEMPT_HEADER,
    CALL_HEADER,
    KEY_HEADER,
    WORK_HEADER,
    WORKER_HEADER,
    read_packet,
)
from ochrehoist.net import ajp

# Within which a pooled connection was closed by the worker while a request crossed that.
CROSSING_S = 0.05
SERVER_PORT = 80

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class TruncatedAnswerError(ConnectionError):
    """A connection ended before the answer was complete."""

    def __init__(self) -> None:
        super().__init__("cut off before the answer was whole")


class WorkerClient(Protocol):
    """One worker as callers reach it."""

    async def send(self, call: Call, attempt: int, work_s: float) -> int:
        """The status of the answer.

        Raises ConnectionRefusedError where nothing was sent, and another ConnectionError where no complete
        answer came.
        """
        ...


def encode_request(method: str, uri: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A Forward Request, with its body's first packet."""
    fields = dict(headers)
    if method == "POST":
        fields["content-length"] = str(len(body))
    payload = bytes((ajp.FORWARD, ajp.METHODS.index(method)))
    payload += b"".join(
        ajp.encode_string(text) for text in (b"HTTP/1.1", uri.encode(), b"127.0.0.1", b"lab", b"lab")
    )
    payload += struct.pack(">HBH", SERVER_PORT, 0, len(fields))
    payload += b"".join(
        ajp.encode_string(name.encode()) + ajp.encode_string(value.encode()) for name, value in fields.items()
    )
    data = ajp.encode_packet(ajp.TO_CONTAINER, payload + bytes((ajp.ATTRIBUTES_END,)))
    return data + (ajp.encode_request_chunk(body) if body else b"")


class AjpConnectionPool:
    """Connections to the front of one worker."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._idle: list[Connection] = []

    async def exchange(self, data: bytes) -> int:
        """Sends a request, and returns the status of its answer. Raises ConnectionError.

        One that crosses the close of an idle connection is sent once more, on a new one, as the platform's
        routers do.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        pooled = bool(self._idle)
        try:
            return await self._exchange_on(data, self._idle.pop() if self._idle else None)
        except ConnectionError:
            if not pooled or loop.time() - started_s > CROSSING_S:
                raise
            return await self._exchange_on(data, None)

    async def _exchange_on(self, data: bytes, connection: Connection | None) -> int:
        if connection is None or connection[1].is_closing() or connection[0].at_eof():
            connection = await asyncio.open_connection(*self._address)
        reader, writer = connection
        reusable = False
        try:
            writer.write(data)
            status, reusable = await _read_answer(reader)
        except asyncio.IncompleteReadError as error:
            raise TruncatedAnswerError from error
        else:
            return status
        finally:
            if reusable:
                self._idle.append(connection)
            else:
                writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """The status, and whether the connection can be used again."""
    status = 0
    while True:
        packet = await read_packet(reader)
        if packet[0] == ajp.HEADERS:
            status = int.from_bytes(packet[1:3], "big")
        elif packet[0] == ajp.END_RESPONSE:
            return status, bool(packet[1])


class AjpWorkerClient:
    """Sends calls to the AJP front of one worker."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self._name = name
        self._pool = AjpConnectionPool(address)

    async def send(self, call: Call, attempt: int, work_s: float) -> int:
        """See WorkerClient."""
        headers = {
            CALL_HEADER: str(call.number),
            ATTEMPT_HEADER: str(attempt),
            WORKER_HEADER: self._name,
            WORK_HEADER: f"{work_s:.6f}",
            "x-tenant": call.tenant,
        }
        if call.idempotency_key:
            headers[KEY_HEADER] = call.idempotency_key
        if attempt:
            headers["x-retry"] = "1"
        method, body = ("POST", b"a filing") if call.idempotency_key else ("GET", b"")
        uri = f"/{call.request_class}/{call.subject}"
        return await self._pool.exchange(encode_request(method, uri, headers, body))
