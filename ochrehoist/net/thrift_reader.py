"""Converts the arguments of the platform's `invoke` call to a request of the core."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import TYPE_CHECKING

from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.request import InboundRequest
from ochrehoist.net.thrift import InvalidArgumentsError
from ochrehoist.units import NS_PER_MS

if TYPE_CHECKING:
    from ochrehoist.core.request import Executor, Responder

MAX_BODY_BYTES = 2048
MAX_INTEGER_DIGITS = 15
REQUEST_ID_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
MAX_ESTIMATE_MS = 1e9
MIN_MEMORY_KB = 1e-9  # excludes 0
MAX_MEMORY_KB = 2000.0


@dataclass(slots=True, frozen=True)
class ThriftPayload:
    """The part of a request that the kernel receives, unchanged."""

    method: str
    body: bytes


class InvokeFields:
    """The map `fields` of an `invoke` call.

    The methods convert one field. They raise InvalidArgumentsError, which names the field, if it is invalid
    or missing; those for optional fields return None for a missing one.
    """

    __slots__ = ("_values",)

    def __init__(self, values: Mapping[bytes, bytes]) -> None:
        self._values = values

    def text(self, name: bytes) -> str:
        """Returns a required field as text."""
        value = self._values.get(name)
        if value is None:
            raise _invalid(name, "missing")
        try:
            return value.decode()
        except UnicodeDecodeError:
            raise _invalid(name, "not text") from None

    def optional_text(self, name: bytes) -> str | None:
        """Returns an optional field as text."""
        return self.text(name) if name in self._values else None

    def number(self, name: bytes, minimum: float, upper_bound: float) -> float:
        """Returns a required number from `minimum` up to, but not including, `upper_bound`."""
        text = self.text(name)
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not minimum <= value < upper_bound:  # also rejects NaN, which compares false
            raise _invalid(name, "unusable value")
        return value

    def optional_number(self, name: bytes, minimum: float, upper_bound: float) -> float | None:
        """Returns an optional number from `minimum` up to, but not including, `upper_bound`."""
        return self.number(name, minimum, upper_bound) if name in self._values else None

    def integer(self, name: bytes) -> int:
        """Returns a required integer that is not negative."""
        text = self.text(name)
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_INTEGER_DIGITS):
            raise _invalid(name, "not a whole number")
        return int(text)

    def optional_integer(self, name: bytes) -> int | None:
        """Returns an optional integer that is not negative."""
        return self.integer(name) if name in self._values else None


def _invalid(name: bytes, problem: str) -> InvalidArgumentsError:
    return InvalidArgumentsError.in_field(name.decode(), problem)


class ThriftReader:
    """Converts `invoke` calls by the configured classes and tenants.

    Attributes:
        classes: The request classes by name, including removed ones, whose requests the core answers.
    """

    def __init__(self, core: CoreActor, executor: Executor) -> None:
        self.classes: dict[str, RequestClass] = {}
        self._core = core
        self._executor = executor
        self.configure(core.settings)

    def configure(self, settings: AdmissionSettings) -> None:
        """Adds the classes of changed settings."""
        self.classes.update((request_class.name, request_class) for request_class in settings.classes)

    def read_request(
        self, values: Mapping[bytes, bytes], body: bytes, responder: Responder
    ) -> InboundRequest:
        """Builds the core's request from the fields and body of a call; raises InvalidArgumentsError."""
        fields = InvokeFields(values)
        method, request_id = fields.text(b"method"), fields.text(b"rid")
        request_class = self.classes.get(method)
        if request_class is None:
            raise InvalidArgumentsError.in_field("method", "unknown class")
        if len(request_id) != REQUEST_ID_LENGTH or not HEX_DIGITS.issuperset(request_id):
            raise InvalidArgumentsError.in_field("rid", "not 16 hex digits")
        tenants = self._core.tenants
        tenant = fields.text(b"acct") if tenants.by_position else fields.optional_text(b"acct")
        # Removed tenants are still known, since they may repeat a filing that ran.
        if tenant is not None and not tenants.is_known(tenant):
            raise InvalidArgumentsError.in_field("acct", "unknown tenant")
        is_keyed = request_class.idempotency is Idempotency.KEYED
        token = fields.text(b"token") if is_keyed else fields.optional_text(b"token")
        if is_keyed and not token:
            raise InvalidArgumentsError.in_field("token", "empty")
        key = (tenant, method, token) if token else None
        if len(body) > MAX_BODY_BYTES:
            raise InvalidArgumentsError.in_argument("body", "too long")
        estimate_ms = fields.optional_number(b"est", 0.0, MAX_ESTIMATE_MS)
        return InboundRequest(
            id=request_id,
            request_class=request_class,
            arrived_ns=fields.integer(b"t0") * NS_PER_MS,
            payload=ThriftPayload(method, body),
            responder=responder,
            executor=self._executor,
            tenant=tenant,
            routing_key=fields.optional_text(b"obj"),
            idempotency_key=key if is_keyed else None,
            unconfirmed_key=None if is_keyed else key,
            fingerprint=(None, sha256(body).digest()) if key else None,
            work_ns=int(estimate_ms * NS_PER_MS) if estimate_ms else None,
            memory_kb=fields.number(b"mem", MIN_MEMORY_KB, MAX_MEMORY_KB),
            rank=fields.optional_number(b"prio", 0.0, 1.0) or 0.0,
            is_retry=fields.optional_text(b"again") == "1",
            is_write=request_class.idempotency is not Idempotency.IDEMPOTENT,
            caller=fields.optional_integer(b"peer") or 0,
        )
