"""The playbook in use, and how workers get a younger one from each other. No I/O."""

from collections.abc import Callable, Iterable
from enum import StrEnum

from ochrehoist.sites.peer_workers import PeerWorkers
from ochrehoist.sites.playbook import Playbook, SiteLoss
from ochrehoist.sites.playbook_codec import decode, encode
from ochrehoist.sites.recovery_ramp import RampPlan
from ochrehoist.sites.site_events import SiteEvent, SiteEventName
from ochrehoist.sites.site_report import NO_PLAYBOOK, PlaybookVersion

FILE_SOURCE = "its file"


class PlaybookTopic(StrEnum):
    """Topics of the messages, as they are written on the wire."""

    QUERY = "book?"
    DOCUMENT = "book"


class PlaybookExchange:
    """The younger of two playbooks counts, whoever has it.

    Args:
        class_names: the classes that a playbook may name.
        from_file: the playbook of this worker's configuration, if it names one.
        emit: takes events to be logged.
    """

    def __init__(
        self, class_names: Iterable[str], from_file: Playbook | None, emit: Callable[[SiteEvent], None]
    ) -> None:
        self.current = self._from_file = from_file
        self.source = FILE_SOURCE
        self._class_names = list(class_names)
        self._emit = emit

    def configure(self, class_names: Iterable[str], from_file: Playbook | None) -> None:
        """New settings while it runs; a playbook of another file counts only where it is the younger."""
        self._class_names = list(class_names)
        if from_file is None:
            return
        if self._from_file is not None and from_file.digest == self._from_file.digest:
            return
        self._from_file = from_file
        if not self._adopt(from_file, FILE_SOURCE) and self.current is not None:
            fields: dict[str, object] = {"made": from_file.made_at, "in_use": self.current.made_at}
            self._emit(SiteEvent(SiteEventName.PLAYBOOK_FILE_OUTDATED, fields))

    @property
    def version(self) -> PlaybookVersion:
        """Of the playbook in use."""
        return self.current.version if self.current is not None else NO_PLAYBOOK

    def loss_of(self, sites: Iterable[str]) -> SiteLoss | None:
        """What holds while these sites are lost: the first of them that is planned for."""
        if self.current is None:
            return None
        planned = (self.current.loss_of(site) for site in sites)
        return next((loss for loss in planned if loss is not None), None)

    def ramp_plan(self, site: str) -> RampPlan:
        """How a worker of this site takes its load again."""
        loss = self.loss_of([site])
        return RampPlan(tuple(loss.stages), loss.max_return_s) if loss is not None else RampPlan()

    def queries(self, peers: PeerWorkers) -> list[tuple[str, str, bytes]]:
        """Asks the worker with the youngest playbook for it, as name, topic and data."""
        mine = self.version
        younger = [
            (peer.name, report.playbook)
            for peer in peers.all
            if (report := peer.fresh_report) is not None and report.playbook > mine
        ]
        if not younger:
            return []
        name, _ = max(younger, key=lambda candidate: candidate[1])
        return [(name, PlaybookTopic.QUERY, b"")]

    def handle(self, sender: str, topic: str, data: bytes) -> list[tuple[str, bytes]]:
        """Handles one message, and gives the answers to its sender as topic and data."""
        if topic == PlaybookTopic.QUERY and self.current is not None:
            return [(PlaybookTopic.DOCUMENT, encode(self.current))]
        if topic == PlaybookTopic.DOCUMENT:
            playbook = decode(data, self._class_names)
            if playbook is not None:
                self._adopt(playbook, sender)
        return []

    def _adopt(self, playbook: Playbook, source: str) -> bool:
        """Whether it is younger than the one in use, and so in use from now on."""
        if self.current is not None and playbook.version <= self.current.version:
            return False
        self.current = playbook
        self.source = source
        fields: dict[str, object] = {
            "made": playbook.made_at,
            "digest": playbook.digest,
            "source": source,
        }
        self._emit(SiteEvent(SiteEventName.PLAYBOOK_ADOPTED, fields))
        return True
