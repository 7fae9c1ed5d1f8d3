"""Values of several tables, read and checked. Each raises InvalidInputError, which names the key."""

import ipaddress

from ochrehoist.config.schema import Address
from ochrehoist.config.settings import Reader
from ochrehoist.errors import InvalidInputError


def address(r: Reader, key: str, loopback: bool = False) -> Address | None:
    if key not in r.data:
        return None
    text = r.text(key)
    host, colon, port = text.rpartition(":")
    if not colon or not (port.isascii() and port.isdigit()) or len(port) > 9 or int(port) >= 65536:
        raise InvalidInputError(f"setting {r.path}{key}: not host:port: {text!r}")
    try:
        if loopback and not ipaddress.IPv4Address(host).is_loopback:
            raise InvalidInputError(f"setting {r.path}{key}: not a loopback address: {text!r}")
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        raise InvalidInputError(f"setting {r.path}{key}: not an IPv4 address: {text!r}") from None


def required(r: Reader, key: str, loopback: bool = False) -> Address:
    r.text(key)
    return address(r, key, loopback)


def header(r: Reader, key: str, default: str) -> bytes:
    name = r.text(key, default)
    if not name.isascii() or not name.isprintable() or set(name) & set(" :"):
        raise InvalidInputError(f"setting {r.path}{key}: not a header name: {name!r}")
    return name.lower().encode()


def only(r: Reader, *known: str) -> Reader:
    """A misspelt key would be a default taken unseen."""
    for key in r.data:
        if key not in known:
            raise InvalidInputError(f"setting {r.path}{key}: unknown")
    return r
