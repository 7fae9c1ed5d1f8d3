"""Environment variables: overrides for values of the file, and a socket passed by the platform."""

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
# Configuration keys by the environment variable that overrides them.
OVERRIDES = {"EDGE_NAME": "name", "EDGE_LISTEN": "listen", "EDGE_ADMIN": "admin"}

MAX_HANDOVER_PATH_CHARS = 90  # Unix socket paths are limited to 107 bytes, and a suffix is added
MAX_DESCRIPTOR_DIGITS = 9
NAME_DIGEST_CHARS = 12

Environment = Mapping[str, str]


def apply_overrides(top: ObjectReader, environment: Environment, *variables: str) -> None:
    """Overrides top-level values of the file by the given environment variables, where they are set."""
    for variable in variables:
        if environment.get(variable):
            top.data[OVERRIDES[variable]] = environment[variable]


def handover_path(name: str, environment: Environment) -> str | None:
    """Returns the path of the handover socket in $TMPDIR.

    The name is hashed, so that the path length does not depend on it. Returns None if $TMPDIR is not a
    folder or the path would be too long for a Unix socket.
    """
    folder = environment.get("TMPDIR")
    if not folder or not Path(folder).is_dir():
        return None
    digest = sha256(name.encode()).hexdigest()[:NAME_DIGEST_CHARS]
    path = str(Path(folder, f"ochrehoist-{digest}"))
    return path if len(path) < MAX_HANDOVER_PATH_CHARS else None


def inherited_socket(environment: Environment, listen: Address) -> int | None:
    """Returns the descriptor of the listening socket that the platform passed, or None without one.

    Raises InvalidInputError if it is not a TCP socket that listens at `listen`; port 0 matches any address.
    """
    text = environment.get(PASSED_SOCKET)
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise InvalidInputError.in_setting(PASSED_SOCKET, f"not a file descriptor: {text!r}")
    try:
        bound = _listening_address(int(text))
    except OSError as error:
        raise InvalidInputError.in_setting(PASSED_SOCKET, f"{text}: {error}") from None
    if bound is None or (listen[1] and bound != listen):
        raise InvalidInputError.in_setting(
            PASSED_SOCKET, f"{text}: not a TCP socket that listens at {listen[0]}:{listen[1]}"
        )
    return int(text)


def _listening_address(descriptor: int) -> Address | None:
    """Returns the address of a listening TCP socket, None for any other socket. The socket stays open."""
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
