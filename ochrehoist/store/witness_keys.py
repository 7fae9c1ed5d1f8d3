"""Keys by which witnesses know a filing.

A record of a witness must be found again after the folder was lost, by a process with another configuration.
A filing over AJP has its class from the configuration, so witnesses know it by its target as well.
"""

from collections.abc import Iterable

from ochrehoist.core.request import Fingerprint, IdempotencyKey, InboundRequest
from ochrehoist.store.records import encode_key, encode_target_key


def witness_keys(key: IdempotencyKey, fingerprint: Fingerprint | None) -> tuple[bytes, ...]:
    """Returns the keys under which witnesses record a filing: by its class, and by its target if any."""
    target = fingerprint[0] if fingerprint is not None else None
    if target is None:
        return (encode_key(key),)
    return encode_key(key), encode_target_key(key[0], target, key[2])


def possible_witness_keys(request: InboundRequest, class_names: Iterable[str]) -> list[bytes]:
    """Returns all keys under which witnesses may have recorded an earlier attempt of a request with a key.

    `class_names` are the classes that the rules may have given to it before.
    """
    assert request.idempotency_key is not None
    keys = (request.idempotency_key, *request.other_keys)
    possible = [found for key in keys for found in witness_keys(key, request.fingerprint)]
    if len(possible) > len(keys):  # the class follows from the configuration
        possible += [encode_key((key[0], name, key[2])) for key in keys for name in class_names]
    return possible
