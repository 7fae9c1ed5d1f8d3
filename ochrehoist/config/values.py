"""Reads types of values that several tables contain: addresses and header names. Errors name the key."""

import ipaddress

from ochrehoist.config.object_reader import ObjectReader

MAX_PORT = 65535
MAX_PORT_DIGITS = 9

Address = tuple[str, int]  # IPv4 address and port


def optional_address(table: ObjectReader, key: str, *, loopback: bool = False) -> Address | None:
    """Returns the IPv4 address and port at `key`, or None if the key is absent.

    With `loopback`, only loopback addresses are accepted. Raises InvalidInputError.
    """
    return required_address(table, key, loopback=loopback) if key in table.data else None


def required_address(table: ObjectReader, key: str, *, loopback: bool = False) -> Address:
    """Returns the IPv4 address and port at `key`, like optional_address(), but the key is mandatory."""
    return parse_address(table, key, table.text(key), loopback=loopback)


def parse_address(table: ObjectReader, key: str, text: str, *, loopback: bool = False) -> Address:
    """Parses an IPv4 address and port; errors name `key`. Raises InvalidInputError."""
    host, colon, port = text.rpartition(":")
    if not colon or not _is_port(port):
        raise table.error(key, f"not host:port: {text!r}")
    try:
        parsed = ipaddress.IPv4Address(host)
    except ValueError:
        raise table.error(key, f"not an IPv4 address: {text!r}") from None
    if loopback and not parsed.is_loopback:
        raise table.error(key, f"not a loopback address: {text!r}")
    return str(parsed), int(port)


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS and int(text) <= MAX_PORT


def read_header_name(table: ObjectReader, key: str, default: str) -> bytes:
    """Returns the HTTP header name at `key` in lower case. Raises InvalidInputError."""
    name = table.text(key, default)
    if not name.isascii() or not name.isprintable() or set(name) & set(" :"):
        raise table.error(key, f"not a header name: {name!r}")
    return name.lower().encode()
