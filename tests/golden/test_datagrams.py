"""Datagrams as 000e6de sent them: read to the same values, and written to the same bytes."""

import json

import msgspec
import pytest

from ochrehoist.peers import wire
from ochrehoist.recovery import messages as witness
from ochrehoist.sites import site_report
from tests.support.environment import FIXTURES

GOLDEN = json.loads((FIXTURES / "000e6de" / "datagrams.json").read_text())
SECRET, GROUP = GOLDEN["secret"].encode(), GOLDEN["group"]


def plain(value):
    """Values without names of types or fields, as JSON holds them."""
    return json.loads(msgspec.json.encode(value))


@pytest.mark.parametrize("golden", GOLDEN["datagrams"], ids=lambda golden: golden["name"])
def test_a_datagram_is_read_and_written_as_before(golden):
    data = bytes.fromhex(golden["datagram"])
    message = wire.decode_datagram(data, (SECRET,), GROUP)
    assert plain(message) == golden["values"]
    assert wire.encode_datagram(message, SECRET) == data


def test_a_status_is_read_and_written_as_before():
    data = bytes.fromhex(GOLDEN["status"]["bytes"])
    status = wire.decode_status(data)
    assert plain(status) == GOLDEN["status"]["values"]
    assert wire.encode_status(status) == data


def test_a_site_report_is_read_and_written_as_before():
    golden = GOLDEN["payloads"]["sites/word"]
    data = bytes.fromhex(golden["bytes"])
    word = site_report.decode(data)
    assert plain(word) == golden["values"]
    assert site_report.encode(word) == data


@pytest.mark.parametrize("topic", ["tell", "told", "ask", "known"])
def test_witness_messages_are_read_and_written_as_before(topic):
    golden = GOLDEN["payloads"][f"recovery/{topic}"]
    data = bytes.fromhex(golden["bytes"])
    value = witness.decode(topic, data)
    assert plain(value) == golden["values"]
    assert witness.encode(value) == data
