"""A router's connection to a real worker, by asyncio: requests out, replies back, aborts."""

import asyncio
from typing import NamedTuple

from ochrehoist.net import thrift
from ochrehoist.plan.routing import Answer, Reply

MAX_OPEN_REQUESTS = 32  # on one connection, as the protocol has it
FRAME_LENGTH_BYTES = 4
SEQUENCE_ID_BYTES = 4
SERVED_FIELD = 0  # of a result's struct
REJECTED_FIELD = 1
DETAILS_FIELD = 1  # of a rejection's struct


class WorkerReply(NamedTuple):
    """What a worker replied, with the fields of a rejection."""

    answer: Answer
    fields: dict[bytes, bytes]

    def as_reply(self) -> Reply:
        """The reply as routers take it."""
        retry_after_s = int(self.fields.get(b"backoff", b"0")) / 1000
        return Reply(self.answer, retry_after_s, self.fields.get(b"final") == b"1")


class Connection:
    """A router's connection to a worker.

    Attributes:
        closed: Nothing new may be sent; what is open is still answered after a farewell.
        farewell: The worker said that it ends the connection.
        waiting: The reply of each open request, by sequence number.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.closed = False
        self.farewell = False
        self.waiting: dict[int, asyncio.Future[WorkerReply]] = {}
        self._reader = reader
        self._writer = writer
        self._last_sequence_id = 0
        self._read_task = asyncio.ensure_future(self._read())

    def invoke(self, fields: dict[str, str], body: bytes) -> tuple[int, asyncio.Future[WorkerReply]]:
        """Sends a request; its sequence number, and its reply once there is one (FAILED if it is cut off)."""
        self._last_sequence_id += 1
        sequence_id = self._last_sequence_id
        encoded = {name.encode(): value.encode() for name, value in fields.items()}
        arguments = (
            thrift.encode_field(thrift.MAP, 1, thrift.encode_string_map(encoded))
            + thrift.encode_field(thrift.STRING, 2, thrift.encode_string(body))
            + thrift.STRUCT_END
        )
        self._writer.write(thrift.encode_message(thrift.CALL, b"invoke", sequence_id, arguments))
        future = self.waiting[sequence_id] = asyncio.get_running_loop().create_future()
        return sequence_id, future

    def abort(self, sequence_id: int) -> None:
        """The caller of a request waits no more; nothing where it was answered."""
        if self.waiting.pop(sequence_id, None) is None or self.closed:
            return
        number = sequence_id.to_bytes(SEQUENCE_ID_BYTES, "big")
        arguments = thrift.encode_field(thrift.I32, 1, number) + thrift.STRUCT_END
        self._writer.write(thrift.encode_message(thrift.ONEWAY, b"abort", 0, arguments))

    async def _read(self) -> None:
        try:
            while not (self.closed and not self.waiting):
                length = int.from_bytes(await self._reader.readexactly(FRAME_LENGTH_BYTES), "big")
                self._handle(thrift.parse_message(await self._reader.readexactly(length)))
        except (asyncio.IncompleteReadError, ConnectionError, thrift.MalformedFrameError):
            pass  # the connection is of no further use
        finally:
            self.closed = True
            for future in self.waiting.values():
                if not future.done():
                    future.set_result(WorkerReply(Answer.FAILED, {}))
            self.waiting.clear()
            self._writer.close()

    def _handle(self, message: thrift.Message) -> None:
        if message.method == b"farewell":
            self.closed = True
            self.farewell = True
            return
        future = self.waiting.pop(message.seqid, None)
        if future is not None and not future.done():
            future.set_result(parse_reply(message))


def parse_reply(message: thrift.Message) -> WorkerReply:
    """What a reply says: served, rejected or failed, and the fields of a rejection."""
    if message.kind != thrift.REPLY:
        return WorkerReply(Answer.FAILED, {})
    for _, number in message.args.read_fields():
        if number == SERVED_FIELD:
            return WorkerReply(Answer.SERVED, {})
        answer = Answer.REFUSED if number == REJECTED_FIELD else Answer.FAILED
        for _, inner_number in message.args.read_fields():
            if inner_number == DETAILS_FIELD:
                return WorkerReply(answer, message.args.read_string_map())
        return WorkerReply(answer, {})
    return WorkerReply(Answer.FAILED, {})
