"""A network on virtual time, each of whose links loses, repeats, delays, holds back or cuts."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from ochrehoist.lab.virtual.scheduler import EventScheduler
from ochrehoist.peers.wire import Message

Packet = Message | bytes  # encoded or not, the same for all packets of a network
Deliver = Callable[[str, Packet, str], None]  # recipient's address, packet, sender's address
AddressPair = tuple[str, str]  # of sender and recipient

DEFAULT_DELAY_S = (0.0002, 0.002)  # from and to


@dataclass
class Link:
    """One direction between two addresses. Several faults may cut it or hold it back at once."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: tuple[float, float] = DEFAULT_DELAY_S
    cut_count: int = 0
    hold_count: int = 0
    held_packets: list[Packet] = field(default_factory=list)


class VirtualNetwork:
    """Carries packets between addresses; `deliver` is called with each that arrives."""

    def __init__(self, scheduler: EventScheduler, random: Random, deliver: Deliver) -> None:
        self._scheduler = scheduler
        self._random = random
        self._deliver = deliver
        self._links: dict[AddressPair, Link] = {}

    def _link(self, source: str, recipient: str) -> Link:
        return self._links.setdefault((source, recipient), Link())

    def send(self, source: str, recipient: str, packet: Packet) -> None:
        """Sends one packet, and draws what becomes of it."""
        link = self._link(source, recipient)
        if link.cut_count:
            return
        if link.hold_count:
            link.held_packets.append(packet)
            return
        for _ in range(self._copies(link)):
            arrival = self._scheduler.now + self._random.uniform(*link.delay_s)
            self._scheduler.at(arrival, lambda: self._deliver(recipient, packet, source))

    def _copies(self, link: Link) -> int:
        if self._random.random() < link.loss:
            return 0
        return 2 if self._random.random() < link.duplication else 1

    def set_conditions(
        self, addresses: list[str], loss: float, duplication: float, delay_s: tuple[float, float]
    ) -> None:
        """Sets how all links between these addresses fare from now on."""
        for source in addresses:
            for recipient in addresses:
                link = self._link(source, recipient)
                link.loss = loss
                link.duplication = duplication
                link.delay_s = delay_s

    def cut(self, links: Iterable[AddressPair]) -> None:
        """Loses all that is sent over these links, until as many calls of `heal`."""
        for link in links:
            self._link(*link).cut_count += 1

    def heal(self, links: Iterable[AddressPair]) -> None:
        """Takes back one `cut`."""
        for link in links:
            self._link(*link).cut_count -= 1

    def hold(self, links: Iterable[AddressPair]) -> None:
        """Holds back all that is sent over these links, until as many calls of `release`."""
        for link in links:
            self._link(*link).hold_count += 1

    def release(self, links: Iterable[AddressPair]) -> None:
        """Takes back one `hold`; what the last one held back is sent now, all at once."""
        for source, recipient in links:
            link = self._link(source, recipient)
            link.hold_count -= 1
            if link.hold_count:
                continue
            held = link.held_packets
            link.held_packets = []
            for packet in held:
                self.send(source, recipient, packet)
