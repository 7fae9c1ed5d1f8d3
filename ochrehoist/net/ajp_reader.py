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
from ochrehoist.core.request import Executor, InboundRequest, Responder
from ochrehoist.errors import OchrehoistError
from ochrehoist.net import ajp
from ochrehoist.net.route_index import RouteIndex
from ochrehoist.steps import run_to_completion

MAX_IDEMPOTENCY_KEY_LENGTH = 255
SECRET_OVERHEAD_BYTES = 4  # attribute code, length and terminating zero of a server's secret
BYTES_PER_KB = 1024
DEFAULT_RANK = 0.5
FIRST_ATTEMPT_VALUES = frozenset({b"", b"0"})  # values of the retry header that do not mark a retry


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


class CheckedRequest(NamedTuple):
    """The properties of a request that are known before its body is read."""

    request_class: RequestClass
    tenant: str | None
    idempotency_key: str | None


class CompiledConfig(NamedTuple):
    """A configuration with its derived lookup tables; it is immutable and replaced as a whole.

    Attributes:
        config: The configuration.
        route_index: The index of its routes.
        classes: The request classes by name.
        longest_secret_bytes: Maximum size of a server's secret attribute; 0 without secrets.
    """

    config: AjpConfig
    route_index: RouteIndex
    classes: Mapping[str, RequestClass]
    longest_secret_bytes: int


class AjpReader:
    """Checks Forward Requests and builds the core's requests.

    Attributes:
        core: Provides the tenants, and the idempotency keys that are in use.
        compiled_config: The active configuration.
    """

    def __init__(self, core: CoreActor, executor: Executor, config: AjpConfig) -> None:
        self.core = core
        self._executor = executor
        self._request_numbers = itertools.count(1)
        # Distinguishes request ids from those of the process that this one replaces.
        self._instance_id = secrets.token_hex(4)
        self.compiled_config = run_to_completion(self._compile_config(config, core.settings, None))

    def prepare(
        self, config: AjpConfig, settings: AdmissionSettings
    ) -> Generator[None, None, Callable[[], None]]:
        """Prepares a changed configuration in steps of less than 1 ms; returns a function that applies it."""
        compiled_config = yield from self._compile_config(config, settings, self.compiled_config)

        def commit() -> None:
            """Applies the prepared configuration."""
            self.compiled_config = compiled_config

        return commit

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
        return CompiledConfig(config, index, classes, max(secrets_bytes))

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
        tenant = _header_text(forward, config.tenant_header) or config.default_tenant
        is_keyed = request_class.idempotency is Idempotency.KEYED
        key = _unquoted(_header_text(forward, config.key_header).strip()) if is_keyed else ""
        tenants = self.core.tenants
        if (
            tenant is not None
            and tenants
            and tenant not in tenants
            and not self._is_repeat(request_class, tenant, key)
        ):
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "unknown tenant")
        if is_keyed and not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH:
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "a filing needs a key")
        return CheckedRequest(request_class, tenant, key or None)

    def _is_repeat(self, request_class: RequestClass, tenant: str, key: str) -> bool:
        """Returns whether the request repeats a known filing, whose tenant may have been removed since."""
        if not key:
            return False
        full_key = (tenant, request_class.name, key)
        return self.core.idempotency.original_request(full_key, self.core.clock()) is not None

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
        request_class, tenant, key = checked
        idempotency_key = fingerprint = None
        if key:
            idempotency_key = (tenant, request_class.name, key)
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
            tenant=tenant,
            idempotency_key=idempotency_key,
            fingerprint=fingerprint,
            subject_hash=crc32(forward.remote_address, crc32(forward.uri)) or 1,
            memory_kb=config.memory_kb + (len(forward.packet) + len(body)) / BYTES_PER_KB,
            rank=DEFAULT_RANK,
            is_retry=forward.headers.get(config.retry_header, b"") not in FIRST_ATTEMPT_VALUES,
            is_write=request_class.idempotency is not Idempotency.IDEMPOTENT,
        )


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
