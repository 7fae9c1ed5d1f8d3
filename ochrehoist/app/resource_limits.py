"""How a worker's memory and its file descriptors are divided among its parts."""

import os
from dataclasses import dataclass

from ochrehoist.config.schema import Config
from ochrehoist.errors import InvalidInputError
from ochrehoist.net.listener import BaseServer

RESULT_MEMORY_FRACTION = 0.15  # of the process memory, for the results of filings
BODY_MEMORY_FRACTION = 0.12  # for AJP bodies coming in, for responses being read, and for those not yet sent
UNSENT_MEMORY_FRACTION = 0.06  # for responses that routers have not taken yet
BYTES_PER_MB = 1e6
RESERVED_DESCRIPTORS = 24  # for all that is no accepted connection
DESCRIPTORS_PER_SERVICE = (
    BaseServer.MAX_CONNECTIONS + 1
)  # for the operators' address and the agent checks, each


class TooFewSocketsError(InvalidInputError):
    """The descriptors leave the AJP front no connection; `configured` is what the settings give."""

    def __init__(self, configured: int) -> None:
        super().__init__(f"setting limits.sockets: too few: {configured}")
        self.configured = configured


def memory_bytes(memory_mb: float, fraction: float) -> int:
    """Bytes of so large a fraction of the process memory."""
    return int(memory_mb * BYTES_PER_MB * fraction)


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Connections that each front may have at once."""

    ajp: int
    thrift: int


def connection_limits(config: Config) -> ConnectionLimits:
    """Divides the descriptors that the settings and the system give.

    Raises:
        TooFewSocketsError: there are too few for the AJP front to have a connection.
    """
    # Where the system gives fewer than the settings say, it is the system's limit that binds.
    descriptors = min(limit for limit in (config.max_sockets, os.sysconf("SC_OPEN_MAX")) if limit > 0)
    services = sum(address is not None for address in (config.admin_address, config.agent_check_address))
    available = descriptors - RESERVED_DESCRIPTORS - DESCRIPTORS_PER_SERVICE * services
    if not config.ajp:
        return ConnectionLimits(ajp=0, thrift=available)
    # What runs is bounded by what the cores survive, whatever the admission controller learns.
    available -= int(config.settings.cores * config.settings.collapse_multiple)
    available -= sum(server.max_idle_connections for server in config.ajp.servers)
    ajp = min(config.ajp.max_connections, available // 2 if config.listen else available)
    if ajp < 1:
        raise TooFewSocketsError(config.max_sockets)
    return ConnectionLimits(ajp=ajp, thrift=available - ajp)
