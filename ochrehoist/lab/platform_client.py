"""A router's way to one worker of the platform's form (asyncio)."""

import asyncio
import base64
import time

from ochrehoist.lab.outcomes import CROSSED_FAREWELL, FAILED, REJECTED, SERVED, Call
from ochrehoist.lab.stand_in_kernel import Kernel, OpenCall
from ochrehoist.lab.worker_client import TruncatedAnswerError
from ochrehoist.plan.routing import Answer
from ochrehoist.plan.thrift_client import MAX_OPEN_REQUESTS, Connection

STATUSES = {Answer.SERVED: SERVED, Answer.REFUSED: REJECTED}


class ThriftWorkerClient:
    """Sends calls to the Thrift front of one worker; its kernel gets to know who waits for what."""

    def __init__(self, address: tuple[str, int], kernel: Kernel) -> None:
        self._address = address
        self._kernel = kernel
        self._connections: list[Connection] = []
        self._sent_count = 0

    async def send(self, call: Call, attempt: int, work_s: float) -> int:
        """See WorkerClient."""
        status = await self._send_once(call, attempt, work_s)
        if status == CROSSED_FAREWELL:  # once more, on a new connection
            return await self._send_once(call, attempt, work_s)
        return status

    async def _send_once(self, call: Call, attempt: int, work_s: float) -> int:
        connection = await self._free_connection()
        self._sent_count += 1
        request_id = f"{call.number:010x}{attempt % 16:x}{self._sent_count % 16**5:05x}"
        fields = _request_fields(call, attempt, work_s, request_id)
        self._kernel.call_opened(request_id, OpenCall(call, attempt, work_s))
        body = base64.b64encode(str(call.number).encode())
        sequence, answer = connection.invoke(fields, body)
        try:
            kind, _ = await answer
        finally:
            self._kernel.call_closed(request_id)
            connection.abort(sequence)
        if kind is Answer.FAILED and connection.closed:
            if connection.farewell:
                return CROSSED_FAREWELL
            raise TruncatedAnswerError
        return STATUSES.get(kind, FAILED)

    async def _free_connection(self) -> Connection:
        """One that may have another request open; a new one where none may."""
        self._connections = [each for each in self._connections if not each.closed]
        for connection in self._connections:
            if len(connection.waiting) < MAX_OPEN_REQUESTS:
                return connection
        connection = Connection(*await asyncio.open_connection(*self._address))
        self._connections.append(connection)
        return connection


def _request_fields(call: Call, attempt: int, work_s: float, request_id: str) -> dict[str, str]:
    """The fields of the platform's request, as its documents name them."""
    fields = {
        "method": call.request_class,
        "rid": request_id,
        "t0": str(time.time_ns() // 1_000_000),
        "peer": "1",
        "est": f"{work_s * 1000:.2f}",
        "mem": "24.0",
        "prio": "0.5",
        "acct": call.tenant,
    }
    if attempt:
        fields["again"] = "1"
    if call.idempotency_key:
        fields["token"] = f"{call.number:032x}"
    return fields
