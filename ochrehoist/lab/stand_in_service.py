"""A stand-in service below the workers: an AJP server whose cores behave as described (asyncio)."""

import asyncio
from contextlib import suppress
from typing import Protocol

from ochrehoist.lab.machine_cores import MachineCores, RunClock
from ochrehoist.lab.outcomes import ServiceRun
from ochrehoist.net import ajp
from ochrehoist.plan.cores import Machine

PACKET_BYTES = 8192
BODY_REQUEST_OVERHEAD_BYTES = 6
CPING_PACKET = bytes((ajp.CPING,))

# Headers of a request by which a service knows its call; the load generator sets them.
CALL_HEADER = "x-call"
ATTEMPT_HEADER = "x-attempt"
WORKER_HEADER = "x-worker"
WORK_HEADER = "x-work"
KEY_HEADER = "idempotency-key"


class Service(Protocol):
    """What a run needs of a service, in either form of its workers."""

    cores: MachineCores
    port: int
    peak_count: int

    async def start(self) -> "Service":
        """Listens, at the same port as before."""
        ...

    def stop(self) -> None:
        """Ends it and its connections."""
        ...

    def set_cutting(self, on: bool) -> None:
        """Whether it closes connections instead of answering."""
        ...


async def read_packet(reader: asyncio.StreamReader) -> bytes:
    """The payload of the next AJP packet. Raises asyncio.IncompleteReadError."""
    head = await reader.readexactly(ajp.HEADER_BYTES)
    return await reader.readexactly(int.from_bytes(head[2:], "big"))


class AjpService:
    """One service; `runs` is the record that all services of a run share."""

    def __init__(self, name: str, machine: Machine, clock: RunClock, runs: list[ServiceRun]) -> None:
        self.cores = MachineCores(machine, clock)
        self.port = 0
        self.peak_count = 0  # of requests at once
        self._name = name
        self._clock = clock
        self._runs = runs
        self._cutting = False
        self._open_count = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> "AjpService":
        """Listens, at the same port as before."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Ends it and its connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def set_cutting(self, on: bool) -> None:
        """Whether it closes connections instead of answering."""
        self._cutting = on

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(
            asyncio.IncompleteReadError, ConnectionError, ajp.MalformedPacketError, asyncio.CancelledError
        ):
            while await self._serve_packet(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_packet(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Whether the connection is kept."""
        packet = await read_packet(reader)
        if packet[:1] == CPING_PACKET:
            writer.write(ajp.PONG_PACKET)
            return True
        request = ajp.parse_forward(packet)
        await self._read_body(request.length, reader, writer)
        return await self._serve(request, writer)

    @staticmethod
    async def _read_body(length: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        remaining = length
        while remaining > 0:
            remaining -= len(ajp.parse_request_chunk(await read_packet(reader)))
            if remaining > 0:
                writer.write(ajp.encode_get_body(min(remaining, PACKET_BYTES - BODY_REQUEST_OVERHEAD_BYTES)))

    async def _serve(self, request: ajp.ForwardRequest, writer: asyncio.StreamWriter) -> bool:
        """Runs a request and answers it; whether the connection is kept."""
        headers = request.headers
        run = ServiceRun(
            self._name,
            headers.get(WORKER_HEADER.encode(), b"").decode(),
            int(headers[CALL_HEADER.encode()]),
            int(headers[ATTEMPT_HEADER.encode()]),
            headers.get(KEY_HEADER.encode(), b"").decode(),
            self._clock(),
        )
        self._runs.append(run)
        self._open_count += 1
        self.peak_count = max(self.peak_count, self._open_count)
        try:
            if self._cutting:
                return False
            await self.cores.work(float(headers[WORK_HEADER.encode()]))
            run.ended_s = self._clock()
            fields: list[tuple[int | bytes, bytes]] = [
                (ajp.CONTENT_LENGTH, b"2"),
                (b"X-Served-By", self._name.encode()),
            ]
            writer.write(
                ajp.encode_response(ajp.encode_headers(200, "OK", fields), b"ok", PACKET_BYTES, True)
            )
            return True
        finally:
            self._open_count -= 1
