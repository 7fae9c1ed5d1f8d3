"""The listening sockets that a process takes over from the one before it."""

import socket
from collections.abc import Mapping, Sequence
from typing import Protocol

from ochrehoist.config.values import Address
from ochrehoist.net.handover_link import receive_listening_sockets
from ochrehoist.net.listener import Acceptor


class Listener(Protocol):
    """A front, the agent check or the operators' address."""

    LISTENER_NAME: str
    acceptor: Acceptor


class InheritedSockets:
    """Listening sockets that the process before this one has handed over, by address."""

    def __init__(self, handover_path: str | None) -> None:
        sockets = receive_listening_sockets(handover_path) if handover_path else None
        self.replaces_process = sockets is not None
        self._sockets: Mapping[Address, socket.socket] = sockets or {}

    def get(self, address: Address) -> socket.socket | None:
        """The socket that listens at the address, where there is one."""
        return self._sockets.get(address)

    def close_unused(self, listeners: Sequence[Listener]) -> set[Address]:
        """Closes those that no listener uses; gives the addresses of those in use.

        What waits in the queue of an unused one is for the process that listens there.
        """
        inherited = set(self._sockets.values())
        used = {listener.acceptor.address for listener in listeners if listener.acceptor.sock in inherited}
        for address, sock in self._sockets.items():
            if address not in used:
                sock.close()
        return used
