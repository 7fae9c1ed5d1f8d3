"""Tracking of attempts that wait until both the local disk and the replicas have recorded their intents."""

REQUIRED_CONFIRMATIONS = 2  # one by the disk, one by the replicas


class IntentConfirmations:
    """The outstanding confirmations of each attempt's intent, which may arrive in any order."""

    def __init__(self) -> None:
        self._missing: dict[str, int] = {}  # outstanding confirmations by request id

    def expect(self, request_id: str) -> None:
        """Adds an attempt that waits for its confirmations."""
        self._missing[request_id] = REQUIRED_CONFIRMATIONS

    def confirm(self, request_id: str) -> bool:
        """Counts one confirmation; returns True if it was the last one, so that the attempt may run."""
        missing = self._missing.get(request_id)
        if missing is None:
            return False
        if missing > 1:
            self._missing[request_id] = missing - 1
            return False
        del self._missing[request_id]
        return True

    def abandon(self, request_id: str) -> bool:
        """Removes an attempt; returns whether it was waiting."""
        return self._missing.pop(request_id, None) is not None

    def waiting(self) -> list[str]:
        """Returns the request ids of all waiting attempts."""
        return list(self._missing)
