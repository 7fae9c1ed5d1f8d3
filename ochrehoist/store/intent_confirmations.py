"""Which attempts wait to run until both this disk and the replicas have recorded their intents."""

CONFIRMATIONS = 2  # that an attempt needs: one of the disk, one of the replicas


class IntentConfirmations:
    """Counts the confirmations of each attempt's intent, in whatever order they come."""

    def __init__(self) -> None:
        self._missing: dict[str, int] = {}  # confirmations by request id

    def expect(self, request_id: str) -> None:
        """The attempt waits from now on."""
        self._missing[request_id] = CONFIRMATIONS

    def confirm(self, request_id: str) -> bool:
        """Counts one confirmation; whether it was the last one, so that the attempt may run."""
        missing = self._missing.get(request_id)
        if missing is None:
            return False
        if missing > 1:
            self._missing[request_id] = missing - 1
            return False
        del self._missing[request_id]
        return True

    def abandon(self, request_id: str) -> bool:
        """The attempt waits no more; whether it did."""
        return self._missing.pop(request_id, None) is not None

    def waiting(self) -> list[str]:
        """The ids of all attempts that wait."""
        return list(self._missing)
