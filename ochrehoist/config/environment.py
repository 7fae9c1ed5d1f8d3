"""What the environment variables say: values that go before a file's, and a socket passed by the platform."""

import socket
from collections.abc import Mapping
from hashlib import sha256
from pathlib import Path

from ochrehoist.config.object_reader import ObjectReader
from ochrehoist.config.values import Address
from ochrehoist.errors import InvalidInputError

CONFIG_FILE = "EDGE_CONFIG"
AJP_FILE = "OCHREHOIST_AJP"
PASSED_SOCKET = "EDGE_PASSED_SOCKET"
OVERRIDES = {"EDGE_NAME": "name", "EDGE_LISTEN": "listen", "EDGE_ADMIN": "admin"}  # key by variable

MAX_HANDOVER_PATH_CHARS = 90  # a socket's path may have 107 bytes, and a few are added to this one
MAX_DESCRIPTOR_DIGITS = 9
NAME_DIGEST_CHARS = 12

Environment = Mapping[str, str]


def apply_overrides(top: ObjectReader, environment: Environment, *variables: str) -> None:
    """Puts the values of the variables that are set into the upper object of a file."""
    for variable in variables:
        if environment.get(variable):
            top.data[OVERRIDES[variable]] = environment[variable]


def handover_path(name: str, environment: Environment) -> str | None:
    """A path in $TMPDIR, short enough for a socket whatever the worker is called; None without $TMPDIR."""
    folder = environment.get("TMPDIR")
    if not folder or not Path(folder).is_dir():
        return None
    digest = sha256(name.encode()).hexdigest()[:NAME_DIGEST_CHARS]
    path = str(Path(folder, f"ochrehoist-{digest}"))
    return path if len(path) < MAX_HANDOVER_PATH_CHARS else None


def inherited_socket(environment: Environment, listen: Address) -> int | None:
    """The descriptor that the platform passed: a TCP socket that listens at `listen`. A port of 0 is any.

    Raises InvalidInputError.
    """
    text = environment.get(PASSED_SOCKET)
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise InvalidInputError.in_setting(PASSED_SOCKET, f"not a descriptor: {text!r}")
    try:
        bound = _listening_address(int(text))
    except OSError as error:
        raise InvalidInputError.in_setting(PASSED_SOCKET, f"{text}: {error}") from None
    if bound is None or (listen[1] and bound != listen):
        raise InvalidInputError.in_setting(
            PASSED_SOCKET, f"{text}: does not listen at {listen[0]}:{listen[1]}"
        )
    return int(text)


def _listening_address(descriptor: int) -> Address | None:
    """Where the socket listens, None if it is no TCP socket that does. It stays open."""
    passed = socket.socket(fileno=descriptor)
    try:
        listens = (
            passed.family == socket.AF_INET
            and passed.type == socket.SOCK_STREAM
            and passed.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        )
        address: Address | None = passed.getsockname() if listens else None
        return address
    finally:
        passed.detach()
