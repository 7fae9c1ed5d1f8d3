"""Reads a playbook from TOML, and from and to the messages of workers. No I/O."""

import tomllib
from collections.abc import Collection

import msgspec

from ochrehoist.sites.playbook import Playbook, PlaybookError
from ochrehoist.sites.playbook_check import find_faults


def parse(text: str, class_names: Collection[str] | None = None) -> Playbook:
    """A playbook from its TOML.

    Args:
        text: the file.
        class_names: those that a worker knows, where it is one that reads.

    Raises:
        PlaybookError: it cannot be read, or is at fault.
    """
    try:
        playbook = msgspec.convert(tomllib.loads(text), Playbook, strict=True)
    except tomllib.TOMLDecodeError as error:
        raise PlaybookError(str(error)) from None
    except msgspec.ValidationError as error:
        raise PlaybookError(_with_key_first(error)) from None
    faults = find_faults(playbook, class_names)
    if faults:
        raise PlaybookError(*faults)
    return playbook


def _with_key_first(error: msgspec.ValidationError) -> str:
    what, _, where = str(error).partition(" - at ")
    key = where.strip("`").removeprefix("$").removeprefix(".")
    return f"{key}: {what}" if key else what


def encode(playbook: Playbook) -> bytes:
    """As workers send it to each other."""
    return msgspec.msgpack.encode(playbook)


def decode(data: bytes, class_names: Collection[str]) -> Playbook | None:
    """One that another worker has; None where it cannot be used here."""
    try:
        playbook = msgspec.msgpack.decode(data, type=Playbook)
    except msgspec.DecodeError:
        return None
    return None if find_faults(playbook, class_names) else playbook
