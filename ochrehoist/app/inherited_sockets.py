"""Listening sockets that a process inherits from the process it replaces."""

import socket
from collections.abc import Mapping, Sequence
from typing import Protocol

from ochrehoist.config.values import Address
from ochrehoist.net.handover_link import receive_listening_sockets
from ochrehoist.net.listener import Acceptor


class Listener(Protocol):
    """A component that accepts connections: a front, the agent check or the operator server."""

    LISTENER_NAME: str
    acceptor: Acceptor


class InheritedSockets:
    """Listening sockets that the predecessor process has handed over, by address."""

    def __init__(self, handover_path: str | None) -> None:
        sockets = receive_listening_sockets(handover_path) if handover_path else None
        self.replaces_process = sockets is not None
        self._sockets: Mapping[Address, socket.socket] = sockets or {}

    def get(self, address: Address) -> socket.socket | None:
        """Returns the inherited socket that listens on `address`, or None."""
        return self._sockets.get(address)

    def close_unused(self, listeners: Sequence[Listener]) -> set[Address]:
        """Closes the inherited sockets that no listener uses and returns the addresses of the others.

        Connections in the accept queue of an unused socket belong to the process that listens there.
        """
        inherited = set(self._sockets.values())
        used = {listener.acceptor.address for listener in listeners if listener.acceptor.sock in inherited}
        for address, sock in self._sockets.items():
            if address not in used:
                sock.close()
        return used
