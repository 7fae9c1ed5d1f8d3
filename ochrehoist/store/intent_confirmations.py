"""Tracking of attempts that wait until both the local disk and the replicas have recorded their intents."""

from ochrehoist.core.request import RequestReference

REQUIRED_CONFIRMATIONS = 2  # one by the disk, one by the replicas


class IntentConfirmations:
    """The outstanding confirmations of each attempt's intent, which may arrive in any order."""

    def __init__(self) -> None:
        self._missing: dict[RequestReference, int] = {}  # outstanding confirmations

    def expect(self, request: RequestReference) -> None:
        """Adds an attempt that waits for its confirmations."""
        self._missing[request] = REQUIRED_CONFIRMATIONS

    def confirm(self, request: RequestReference) -> bool:
        """Counts one confirmation; returns True if it was the last one, so that the attempt may run."""
        missing = self._missing.get(request)
        if missing is None:
            return False
        if missing > 1:
            self._missing[request] = missing - 1
            return False
        del self._missing[request]
        return True

    def abandon(self, request: RequestReference) -> bool:
        """Removes an attempt; returns whether it was waiting."""
        return self._missing.pop(request, None) is not None

    def waiting(self) -> list[RequestReference]:
        """Returns all waiting attempts."""
        return list(self._missing)
