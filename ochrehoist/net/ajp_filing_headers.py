"""The tenant and the idempotency key that a Forward Request states, by the headers that the file names.

A reload may change the names of these headers, and the tenant of requests that state none. A filing that was
read before is then known under what the earlier names say, so these are kept while it may be repeated.
"""

from http import HTTPStatus
from typing import NamedTuple, Protocol, Self

from ochrehoist.config.tables import AjpConfig
from ochrehoist.errors import OchrehoistError
from ochrehoist.net import ajp

MAX_FORMER_HEADERS = 8  # of several reloads within one idempotency window


class RequestRejectedError(OchrehoistError):
    """The request is rejected by the front before it reaches the core.

    Attributes:
        status: The HTTP status of the response.
        retry_after_s: The Retry-After header in seconds, which is sent only with SERVICE_UNAVAILABLE.
        class_name: The class of the request, or None if no route matched.
    """

    def __init__(self, status: HTTPStatus, reason: str, retry_after_s: int = 1) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after_s = retry_after_s
        self.class_name: str | None = None


class StatedKey(NamedTuple):
    """A tenant and the key that its client chose; the key is empty if there is none."""

    tenant: str | None
    key: str


class FilingHeaders(NamedTuple):
    """The names of the headers that state tenant and key, and the tenant of requests that state none."""

    tenant_header: bytes
    key_header: bytes
    default_tenant: str | None

    @classmethod
    def of(cls, config: AjpConfig) -> Self:
        """Returns the headers that a configuration names."""
        return cls(config.tenant_header, config.key_header, config.default_tenant)

    def stated_tenant(self, forward: ajp.ForwardRequest) -> str:
        """Returns the tenant in the request's header; raises RequestRejectedError if it is not UTF-8."""
        return _header_text(forward, self.tenant_header)

    def key(self, forward: ajp.ForwardRequest) -> str:
        """Returns the key in the request's header; raises RequestRejectedError if it is not UTF-8."""
        return _unquoted(_header_text(forward, self.key_header).strip())

    def read(self, forward: ajp.ForwardRequest) -> StatedKey | None:
        """Returns tenant and key of a request; None if it has no key, or they are not UTF-8."""
        try:
            stated = StatedKey(self.stated_tenant(forward) or self.default_tenant, self.key(forward))
        except RequestRejectedError:
            return None
        return stated if stated.key else None


class CoreClock(Protocol):
    """The interface of the core that former headers use."""

    def clock(self) -> int:
        """Returns the core's time in ns."""
        ...


class FormerHeaders:
    """The headers that earlier configurations named, while filings that they identified may be repeated."""

    def __init__(self) -> None:
        self._expiry_ns: dict[FilingHeaders, int] = {}

    def __bool__(self) -> bool:
        return bool(self._expiry_ns)

    def add(self, headers: FilingHeaders, expires_ns: int) -> None:
        """Keeps headers that are not in force any more; of too many, those that expire first are dropped."""
        self._expiry_ns.pop(headers, None)
        self._expiry_ns[headers] = expires_ns
        while len(self._expiry_ns) > MAX_FORMER_HEADERS:
            del self._expiry_ns[min(self._expiry_ns, key=self._expiry_ns.__getitem__)]

    def names(self) -> set[bytes]:
        """Returns the names of these headers."""
        return {name for headers in self._expiry_ns for name in (headers.tenant_header, headers.key_header)}

    def read(self, forward: ajp.ForwardRequest, core: CoreClock) -> list[StatedKey]:
        """Returns what the former headers state in a request, as far as they have not expired."""
        now_ns = core.clock()
        self._expiry_ns = {
            headers: expires_ns for headers, expires_ns in self._expiry_ns.items() if expires_ns > now_ns
        }
        stated = (headers.read(forward) for headers in self._expiry_ns)
        return [key for key in stated if key is not None]


def _header_text(forward: ajp.ForwardRequest, name: bytes) -> str:
    """Returns a header decoded as UTF-8, or an empty string if it is missing.

    The Thrift front decodes keys as UTF-8 too. With different decodings, one key would name two filings, and
    the filing would run twice.
    """
    try:
        return forward.headers.get(name, b"").decode()
    except UnicodeDecodeError:
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, f"{name.decode()} is not UTF-8") from None


def _unquoted(key: str) -> str:
    """Removes the quotes of a key: the header's standard form is quoted, but a bare key is accepted."""
    if len(key) > 1 and key[0] == key[-1] == '"':
        return key[1:-1]
    return key
