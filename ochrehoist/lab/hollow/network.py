"""Datagrams between hollow workers, over a network that can be partitioned."""

from typing import Any

from ochrehoist.lab.hollow.protocol import Address
from ochrehoist.net.peer_transport import DatagramSocket


class PartitionedNetwork:
    """Decides which datagrams pass: none between an address inside a partition and one outside."""

    def __init__(self) -> None:
        self.partitions: list[frozenset[Address]] = []

    def passes(self, source: Address, recipient: Address) -> bool:
        """Whether a datagram arrives now."""
        return all((source in inside) == (recipient in inside) for inside in self.partitions)

    def set_partition(self, inside: frozenset[Address], active: bool) -> None:
        """Adds a partition, or removes it."""
        if active:
            self.partitions.append(inside)
        else:
            self.partitions.remove(inside)


class PartitionedSocket:
    """A worker's datagram socket on that network; `received_count` counts what arrived."""

    def __init__(self, sock: DatagramSocket, network: PartitionedNetwork, address: Address) -> None:
        self._sock = sock
        self._network = network
        self._address = address
        self.received_count = 0

    def fileno(self) -> int:
        """The descriptor of the socket."""
        return self._sock.fileno()

    def getsockname(self) -> Any:
        """The address that it is bound to."""
        return self._sock.getsockname()

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    def sendto(self, data: bytes, recipient: Address, /) -> int:
        """Sends one datagram; one that a partition stops counts as sent, and is lost."""
        if self._network.partitions and not self._network.passes(self._address, recipient):
            return len(data)
        return self._sock.sendto(data, recipient)

    def recvfrom(self, size: int, /) -> tuple[bytes, Address]:
        """Receives the next datagram that passes; raises BlockingIOError where there is none."""
        while True:
            data, source = self._sock.recvfrom(size)
            if not self._network.partitions or self._network.passes(source, self._address):
                self.received_count += 1
                return data, source
