"""The playbook in use, and the distribution of newer playbooks between workers. No I/O."""

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
    """Message topics, as written on the wire."""

    QUERY = "book?"
    DOCUMENT = "book"


class PlaybookExchange:
    """The newest playbook among this worker's file and its peers' playbooks.

    Args:
        class_names: the classes that a playbook may name.
        from_file: the playbook that this worker's configuration names, if any.
        emit: receives events to be logged.
    """

    def __init__(
        self, class_names: Iterable[str], from_file: Playbook | None, emit: Callable[[SiteEvent], None]
    ) -> None:
        self.current = self._from_file = from_file
        self.source = FILE_SOURCE
        self._class_names = list(class_names)
        self._emit = emit

    def configure(self, class_names: Iterable[str], from_file: Playbook | None) -> None:
        """Applies changed settings; a changed playbook file is used only if newer than the one in use."""
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
        """The version of the playbook in use, or NO_PLAYBOOK."""
        return self.current.version if self.current is not None else NO_PLAYBOOK

    def loss_of(self, sites: Iterable[str]) -> SiteLoss | None:
        """Returns the plan for the loss of these sites: that of the first one that the playbook covers."""
        if self.current is None:
            return None
        planned = (self.current.loss_of(site) for site in sites)
        return next((loss for loss in planned if loss is not None), None)

    def ramp_plan(self, site: str) -> RampPlan:
        """Returns the recovery plan for a worker of this site: by the playbook, or the default one."""
        loss = self.loss_of([site])
        return RampPlan(tuple(loss.stages), loss.max_return_s) if loss is not None else RampPlan()

    def queries(self, peers: PeerWorkers) -> list[tuple[str, str, bytes]]:
        """Returns a query to the peer with the newest playbook, as name, topic and data.

        Empty if no peer has a newer playbook than this worker.
        """
        own_version = self.version
        newer_versions = [
            (peer.name, report.playbook)
            for peer in peers.workers
            if (report := peer.fresh_report) is not None and report.playbook > own_version
        ]
        if not newer_versions:
            return []
        name, _ = max(newer_versions, key=lambda candidate: candidate[1])
        return [(name, PlaybookTopic.QUERY, b"")]

    def handle(self, sender: str, topic: str, data: bytes) -> list[tuple[str, bytes]]:
        """Handles one message, and returns the replies to its sender as topic and data."""
        if topic == PlaybookTopic.QUERY and self.current is not None:
            return [(PlaybookTopic.DOCUMENT, encode(self.current))]
        if topic == PlaybookTopic.DOCUMENT:
            playbook = decode(data, self._class_names)
            if playbook is not None:
                self._adopt(playbook, sender)
        return []

    def _adopt(self, playbook: Playbook, source: str) -> bool:
        """Takes a playbook into use if it is newer than the present one; returns whether it did."""
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
