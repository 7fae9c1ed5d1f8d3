"""A capture that a worker of 000e6de wrote: read to the same values, and written to the same bytes."""

import json
from pathlib import Path

import msgspec

from ochrehoist.capture import records

FOLDER = Path(__file__).parent.parent / "fixtures" / "000e6de"
GOLDEN = (FOLDER / "load.ochrecap").read_bytes()


def test_it_is_read_to_the_same_values():
    damage = records.Damage()
    values = [msgspec.to_builtins(record) for record in records.records(GOLDEN, damage)]
    assert json.loads(json.dumps(values)) == json.loads((FOLDER / "load.json").read_text())
    assert damage == records.Damage()


def test_it_is_written_to_the_same_bytes():
    head, *rest = records.records(GOLDEN, records.Damage())
    written = records.start() + records.head_block(head, len(head.tenants), [records.told(head.tenants)])
    assert GOLDEN.startswith(written)
    left = GOLDEN[len(written) :]
    while left:
        size = 12 + int.from_bytes(left[:4], "big")
        of_block = list(records.records(records.start() + left[:size], records.Damage()))
        assert records.block(of_block) == left[:size]
        rest, left = rest[len(of_block) :], left[size:]
    assert rest == []
