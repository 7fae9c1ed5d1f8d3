"""Decoding of playbooks from TOML, and their encoding in messages between workers. No I/O."""

import tomllib
from collections.abc import Collection

import msgspec

from ochrehoist.sites.playbook import Playbook, PlaybookError
from ochrehoist.sites.playbook_check import find_faults


def parse(text: str, class_names: Collection[str] | None = None) -> Playbook:
    """Returns the playbook that is written in a TOML text.

    Args:
        text: the content of the file.
        class_names: the classes that the reading worker serves; None if any class may be named.

    Raises:
        PlaybookError: the text cannot be parsed, or the playbook has faults.
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
    problem, _, path = str(error).partition(" - at ")
    key = path.strip("`").removeprefix("$").removeprefix(".")
    return f"{key}: {problem}" if key else problem


def encode(playbook: Playbook) -> bytes:
    """Returns a playbook in the encoding of messages between workers."""
    return msgspec.msgpack.encode(playbook)


def decode(data: bytes, class_names: Collection[str]) -> Playbook | None:
    """Returns a playbook sent by a peer; None if it cannot be decoded or has faults for this worker."""
    try:
        playbook = msgspec.msgpack.decode(data, type=Playbook)
    except msgspec.DecodeError:
        return None
    return None if find_faults(playbook, class_names) else playbook
