"""Division of a worker's memory and file descriptors among its parts."""

import os
from dataclasses import dataclass

from ochrehoist.config.schema import Config
from ochrehoist.errors import InvalidInputError
from ochrehoist.net.listener import BaseServer

RESULT_MEMORY_FRACTION = 0.15  # of the process memory, for stored results of filings
BODY_MEMORY_FRACTION = 0.12  # for incoming AJP bodies, responses being read and unsent responses
INPUT_MEMORY_FRACTION = 0.08  # for each front: what has arrived of messages that are not complete
UNSENT_MEMORY_FRACTION = 0.06  # for responses that routers have not read yet
BYTES_PER_MB = 1e6
RESERVED_DESCRIPTORS = 24  # for everything other than accepted connections
# Of the operator server and of the agent check server: connections and the listening socket.
DESCRIPTORS_PER_AUXILIARY_SERVER = BaseServer.MAX_CONNECTIONS + 1


class TooFewSocketsError(InvalidInputError):
    """Raised if no descriptor is left for a connection of the AJP front.

    `configured` is the number of descriptors in the settings.
    """

    def __init__(self, configured: int) -> None:
        super().__init__(
            f"setting limits.sockets: {configured} leaves no descriptor for a connection of the AJP front"
        )
        self.configured = configured


def memory_bytes(memory_mb: float, fraction: float) -> int:
    """Returns a fraction of the process memory, in bytes."""
    return int(memory_mb * BYTES_PER_MB * fraction)


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Maximum number of open connections of each front."""

    ajp: int
    thrift: int


def connection_limits(config: Config) -> ConnectionLimits:
    """Divides the available file descriptors between the fronts.

    Raises:
        TooFewSocketsError: no descriptor is left for a connection of the AJP front.
    """
    # The lower one of the configured limit and the system's limit applies.
    descriptors = min(limit for limit in (config.max_sockets, os.sysconf("SC_OPEN_MAX")) if limit > 0)
    auxiliary_servers = sum(
        address is not None for address in (config.admin_address, config.agent_check_address)
    )
    available_descriptors = (
        descriptors - RESERVED_DESCRIPTORS - DESCRIPTORS_PER_AUXILIARY_SERVER * auxiliary_servers
    )
    if not config.ajp:
        return ConnectionLimits(ajp=0, thrift=available_descriptors)
    # Each running request uses a server connection. The collapse concurrency bounds their number, whatever
    # limit the admission controller learns.
    available_descriptors -= int(config.settings.cores * config.settings.collapse_multiple)
    available_descriptors -= sum(server.max_idle_connections for server in config.ajp.servers)
    ajp = min(
        config.ajp.max_connections, available_descriptors // 2 if config.listen else available_descriptors
    )
    if ajp < 1:
        raise TooFewSocketsError(config.max_sockets)
    return ConnectionLimits(ajp=ajp, thrift=available_descriptors - ajp)
