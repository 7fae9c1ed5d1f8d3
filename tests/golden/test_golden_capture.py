"""A capture that a worker of 000e6de wrote: read to the same values, and written to the same bytes."""

import json

import msgspec

from ochrehoist.capture import encoding
from tests.support.environment import FIXTURES

FOLDER = FIXTURES / "000e6de"
GOLDEN = (FOLDER / "load.ochrecap").read_bytes()


def test_it_is_read_to_the_same_values():
    damage = encoding.CaptureDamage()
    values = [msgspec.to_builtins(record) for record in encoding.decode_records(GOLDEN, damage)]
    assert json.loads(json.dumps(values)) == json.loads((FOLDER / "load.json").read_text())
    assert damage == encoding.CaptureDamage()


def test_it_is_written_to_the_same_bytes():
    head, *rest = encoding.decode_records(GOLDEN, encoding.CaptureDamage())
    tenants = [encoding.encode_tenants(head.tenants)]
    written = encoding.file_prefix() + encoding.encode_header(head, len(head.tenants), tenants)
    assert GOLDEN.startswith(written)
    left = GOLDEN[len(written) :]
    while left:
        size = 12 + int.from_bytes(left[:4], "big")
        of_block = list(
            encoding.decode_records(encoding.file_prefix() + left[:size], encoding.CaptureDamage())
        )
        assert encoding.encode_block(of_block) == left[:size]
        rest, left = rest[len(of_block) :], left[size:]
    assert rest == []
