"""Values that several tables have in common: addresses and header names. Errors name the key."""

import ipaddress

from ochrehoist.config.object_reader import ObjectReader

MAX_PORT = 65535
MAX_PORT_DIGITS = 9

Address = tuple[str, int]  # IPv4 address and port


def optional_address(table: ObjectReader, key: str, *, loopback: bool = False) -> Address | None:
    """The IPv4 address and port below `key`, None where the key is absent.

    `loopback`: only an address of this machine will do. Raises InvalidInputError.
    """
    return address(table, key, loopback=loopback) if key in table.data else None


def address(table: ObjectReader, key: str, *, loopback: bool = False) -> Address:
    """As optional_address(), of a key that must be there."""
    return parsed_address(table, key, table.text(key), loopback=loopback)


def parsed_address(table: ObjectReader, key: str, text: str, *, loopback: bool = False) -> Address:
    """An address as it is written below `key`, or as an element of the array there."""
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


def header_name(table: ObjectReader, key: str, default: str) -> bytes:
    """The name of an HTTP header, in lower case. Raises InvalidInputError."""
    name = table.text(key, default)
    if not name.isascii() or not name.isprintable() or set(name) & set(" :"):
        raise table.error(key, f"not a header name: {name!r}")
    return name.lower().encode()
