"""The lines that a worker of 000e6de hands to its successor: read, and written again byte for byte."""

import json

from ochrehoist.core.handover_snapshot import SnapshotReader, snapshot_lines
from ochrehoist.net.ajp_reply_codec import ReplyCodec
from tests.support.environment import FIXTURES

GOLDEN = FIXTURES / "000e6de" / "handover" / "lines.jsonl"
MAX_RESULT_BYTES = 1 << 20


def read(clock_offset_ns):
    sent = []
    reader = SnapshotReader(clock_offset_ns, {}, MAX_RESULT_BYTES, 0, sent.append, ReplyCodec())
    for line in GOLDEN.read_bytes().splitlines():
        assert not reader.done
        reader.read(json.loads(line))
    assert reader.done and sent == []
    return reader.snapshot


def written(snapshot, clock_offset_ns):
    lines = snapshot_lines(snapshot, clock_offset_ns, ReplyCodec())
    return [json.dumps(line, separators=(",", ":")).encode() for line in lines]


def test_the_golden_lines_hold_each_kind_of_state():
    lines = [json.loads(line) for line in GOLDEN.read_bytes().splitlines()]
    assert {line["m"] for line in lines} == {"state", "run", "entry", "request", "class", "end"}
    requests = [line for line in lines if line["m"] == "request"]
    assert {request["started"] for request in requests} == {True, False}
    runs = [line for line in lines if line["m"] == "run"]
    assert {run["result"] and run["result"]["outcome"] for run in runs} == {"OK", "FAILED", None}


def test_a_state_of_then_is_written_again_byte_for_byte():
    assert written(read(0), 0) == GOLDEN.read_bytes().splitlines()


def test_the_clocks_of_two_processes_may_differ():
    offset_ns = 1_234_567_890
    assert written(read(offset_ns), offset_ns) == GOLDEN.read_bytes().splitlines()
