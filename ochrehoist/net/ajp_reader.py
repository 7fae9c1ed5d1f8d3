"""Checks AJP Forward Requests against routes and limits, and converts them to requests of the core."""

import hmac
import itertools
import secrets
from collections.abc import Callable, Generator, Mapping
from hashlib import sha256
from http import HTTPStatus
from typing import NamedTuple
from zlib import crc32

from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass
from ochrehoist.config.tables import AjpConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.request import Executor, IdempotencyKey, InboundRequest, Responder
from ochrehoist.net import ajp
from ochrehoist.net.ajp_filing_headers import FilingHeaders, FormerHeaders, RequestRejectedError, StatedKey
from ochrehoist.net.route_index import RouteIndex
from ochrehoist.steps import run_to_completion
from ochrehoist.units import NS_PER_S

MAX_IDEMPOTENCY_KEY_LENGTH = 255
SECRET_OVERHEAD_BYTES = 4  # attribute code, length and terminating zero of a server's secret
BYTES_PER_KB = 1024
DEFAULT_RANK = 0.5
FIRST_ATTEMPT_VALUES = frozenset({b"", b"0"})  # values of the retry header that do not mark a retry


class CheckedRequest(NamedTuple):
    """The properties of a request that are known before its body is read.

    Attributes:
        request_class: The class of its route.
        tenant: The tenant, stated or by default.
        key: The key that the client chose, or empty.
        other_keys: What else the request states of its filing, by headers that may have been in force before.
    """

    request_class: RequestClass
    tenant: str | None
    key: str
    other_keys: tuple[StatedKey, ...]


class CompiledConfig(NamedTuple):
    """A configuration with its derived lookup tables; it is immutable and replaced as a whole.

    Attributes:
        config: The configuration.
        route_index: The index of its routes.
        classes: The request classes by name.
        headers: The headers that state tenant and key.
        longest_secret_bytes: Maximum size of a server's secret attribute; 0 without secrets.
    """

    config: AjpConfig
    route_index: RouteIndex
    classes: Mapping[str, RequestClass]
    headers: FilingHeaders
    longest_secret_bytes: int


class AjpReader:
    """Checks Forward Requests and builds the core's requests.

    Attributes:
        core: Provides the tenants, and the idempotency keys that are in use.
        compiled_config: The active configuration.
        header_names: The headers that are read, in the active configuration and in former ones.
    """

    REPEAT_MARGIN_NS = NS_PER_S  # beyond the longest window and deadline, for requests on their way

    def __init__(self, core: CoreActor, executor: Executor, config: AjpConfig) -> None:
        self.core = core
        self._executor = executor
        self._request_numbers = itertools.count(1)
        # Distinguishes request ids from those of the process that this one replaces.
        self._instance_id = secrets.token_hex(4)
        self._former_headers = FormerHeaders()
        self.compiled_config = run_to_completion(self._compile_config(config, core.settings, None))
        self.header_names = self._names_of_headers(config)

    def prepare(
        self, config: AjpConfig, settings: AdmissionSettings
    ) -> Generator[None, None, Callable[[], None]]:
        """Prepares a changed configuration in steps of less than 1 ms; returns a function that applies it."""
        compiled_config = yield from self._compile_config(config, settings, self.compiled_config)

        def commit() -> None:
            """Applies the prepared configuration."""
            self._keep_former_headers(FilingHeaders.of(config), settings)
            self.compiled_config = compiled_config
            self.header_names = self._names_of_headers(config)

        return commit

    def _names_of_headers(self, config: AjpConfig) -> frozenset[bytes]:
        names = {config.tenant_header, config.key_header, config.retry_header}
        return frozenset(names | self._former_headers.names())

    def _keep_former_headers(self, headers: FilingHeaders, settings: AdmissionSettings) -> None:
        """Keeps the headers in force if others replace them, while filings read by them may be repeated."""
        former = self.compiled_config.headers
        if former == headers:
            return
        classes = (*self.compiled_config.classes.values(), *settings.classes)
        longest_ns = max(c.idempotency_window_ns for c in classes) + max(c.deadline_ns for c in classes)
        self._former_headers.add(former, self.core.clock() + longest_ns + self.REPEAT_MARGIN_NS)

    @staticmethod
    def _compile_config(
        config: AjpConfig, settings: AdmissionSettings, previous: CompiledConfig | None
    ) -> Generator[None, None, CompiledConfig]:
        """Compiles a configuration; reuses the route index of `previous` if the routes are unchanged."""
        if previous is not None and config.routes is previous.config.routes:
            index = previous.route_index
        else:
            index = yield from RouteIndex.in_steps(config.routes)
        classes = {request_class.name: request_class for request_class in settings.classes}
        secrets_bytes = (
            len(server.secret.encode()) + SECRET_OVERHEAD_BYTES if server.secret else 0
            for server in config.servers
        )
        return CompiledConfig(config, index, classes, FilingHeaders.of(config), max(secrets_bytes))

    def configure(self, config: AjpConfig, settings: AdmissionSettings) -> None:
        """Prepares and applies a changed configuration in one step."""
        run_to_completion(self.prepare(config, settings))()

    def check(self, forward: ajp.ForwardRequest) -> CheckedRequest:
        """Determines class, tenant and idempotency key of a request before its body is read.

        Raises:
            RequestRejectedError: The request is invalid or not authorized.
        """
        compiled_config = self.compiled_config
        secret = compiled_config.config.secret
        if secret is not None and not hmac.compare_digest(secret.encode(), forward.secret or b""):
            raise RequestRejectedError(HTTPStatus.FORBIDDEN, "wrong secret")
        path = forward.uri.split(b"?")[0].split(b";")[0].decode("latin-1")
        route = compiled_config.route_index.find(forward.method, path)
        if route is None:
            raise RequestRejectedError(HTTPStatus.NOT_FOUND, "no class for this request")
        request_class = compiled_config.classes[route.request_class]
        try:
            return self._check_class(forward, request_class, compiled_config)
        except RequestRejectedError as error:
            error.class_name = request_class.name
            raise

    def _check_class(
        self, forward: ajp.ForwardRequest, request_class: RequestClass, compiled_config: CompiledConfig
    ) -> CheckedRequest:
        config = compiled_config.config
        if forward.length > config.max_body:
            raise RequestRejectedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
        if len(forward.packet) + compiled_config.longest_secret_bytes > config.packet_size - ajp.HEADER_BYTES:
            raise RequestRejectedError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "no room for the server's secret"
            )
        headers = compiled_config.headers
        stated_tenant = headers.stated_tenant(forward)
        tenant = stated_tenant or config.default_tenant
        is_keyed = request_class.idempotency is Idempotency.KEYED
        has_key = is_keyed or headers.key_header in forward.headers
        if not (has_key or self._former_headers):
            if self._is_unknown(tenant):
                raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "unknown tenant")
            return CheckedRequest(request_class, tenant, "", ())
        key = headers.key(forward) if is_keyed else self._optional_key(headers, forward)
        other_keys = self._former_headers.read(forward, self.core) if self._former_headers else []
        if not stated_tenant and tenant is not None and key:  # the default may be new
            other_keys.append(StatedKey(None, key))
        # A filing of a tenant that was removed may have run.
        if self._is_unknown(tenant) and not self._is_repeat(StatedKey(tenant, key), *other_keys):
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "unknown tenant")
        if is_keyed and not key and self._is_repeat(*other_keys):
            tenant, key = other_keys[0]
        if is_keyed and not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH:
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "a filing needs a key")
        return CheckedRequest(request_class, tenant, key, tuple(other_keys))

    @staticmethod
    def _optional_key(headers: FilingHeaders, forward: ajp.ForwardRequest) -> str:
        """Returns the key of a request whose class has no keys; it is empty if it cannot be one."""
        stated = headers.read(forward)
        return stated.key if stated is not None and len(stated.key) <= MAX_IDEMPOTENCY_KEY_LENGTH else ""

    def _is_unknown(self, tenant: str | None) -> bool:
        tenants = self.core.tenants
        return tenant is not None and bool(tenants) and tenant not in tenants

    def _is_repeat(self, *stated: StatedKey) -> bool:
        """Returns whether the request repeats a known filing, under any of these keys."""
        table = self.core.idempotency
        now_ns = self.core.clock()
        return any(key.key and table.knows_caller_key(key.tenant, key.key, now_ns) for key in stated)

    def read_request(
        self,
        forward: ajp.ForwardRequest,
        checked: CheckedRequest,
        body: bytes,
        arrived_ns: int,
        responder: Responder,
    ) -> InboundRequest:
        """Builds the core's request from a checked request and its body; `arrived_ns` is Unix time."""
        config = self.compiled_config.config
        request_class = checked.request_class
        is_keyed = request_class.idempotency is Idempotency.KEYED
        key = fingerprint = None
        other_keys: tuple[IdempotencyKey, ...] = ()
        if checked.key:
            key = (checked.tenant, request_class.name, checked.key)
            other_keys = tuple(_full_key(other, request_class) for other in checked.other_keys)
            fingerprint = (
                sha256(f"{forward.method} ".encode() + forward.uri).digest(),
                sha256(body).digest(),
            )
        return InboundRequest(
            id=f"ajp-{self._instance_id}-{next(self._request_numbers)}",
            request_class=request_class,
            arrived_ns=arrived_ns,
            payload=ajp.AjpPayload(forward, body),
            responder=responder,
            executor=self._executor,
            tenant=checked.tenant,
            idempotency_key=key if is_keyed else None,
            unconfirmed_key=None if is_keyed else key,
            other_keys=other_keys,
            fingerprint=fingerprint,
            subject_hash=crc32(forward.remote_address, crc32(forward.uri)) or 1,
            memory_kb=config.memory_kb + (len(forward.packet) + len(body)) / BYTES_PER_KB,
            rank=DEFAULT_RANK,
            is_retry=forward.headers.get(config.retry_header, b"") not in FIRST_ATTEMPT_VALUES,
            is_write=request_class.idempotency is not Idempotency.IDEMPOTENT,
        )


def _full_key(stated: StatedKey, request_class: RequestClass) -> IdempotencyKey:
    return stated.tenant, request_class.name, stated.key
