"""The other workers as a desk needs them: what membership and their own words tell. No I/O."""

from collections.abc import Callable

from ochrehoist.peers.group import Group
from ochrehoist.sites.desk import Peer
from ochrehoist.sites.words import TOPIC, decode


def heard(group: Group, site_of: Callable[[str], str | None] | None = None) -> list[Peer]:
    """`site_of`: the site of a host, where a description tells; else it is what the worker says itself."""
    words, out = group.extension_data(TOPIC), []
    for name, m in group.members.members.items():
        age, data = words.get(name, (0.0, b""))
        site = site_of(m.address.rpartition(":")[0]) if site_of is not None else None
        out.append(Peer(name, site or m.site, m.state, age, decode(data) if data else None))
    return out
