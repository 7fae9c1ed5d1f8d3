"""What falls due when: the module's alarms, which ring with fresh gauges, and each request's last moment."""

from collections.abc import Iterator
from heapq import heappop, heappush

MS = 1_000_000
RING_WAIT = 25 * MS  # an alarm rings so long after it fell due at the latest, with or without fresh gauges
REARM = 100 * MS  # alarms go on after a fault in the module


class Deadlines:
    """Times are ns of the core's clock."""

    def __init__(self) -> None:
        self.alarms: list[tuple[int, int]] = []
        self.backstops: list[tuple[int, str]] = []  # when each request must have been answered
        self.ringing: tuple[int, list[int]] | None = None  # alarms that wait for gauges, and until when

    def forget_alarms(self) -> None:
        """They were those of a module that is gone."""
        self.alarms, self.ringing = [], None

    def set_alarm(self, at: int, token: int) -> None:
        heappush(self.alarms, (at, token))

    def answer_by(self, due: int, request_id: str) -> None:
        heappush(self.backstops, (due, request_id))

    def next(self) -> int | None:
        times = [heap[0][0] for heap in (self.alarms, self.backstops) if heap]
        if self.ringing:
            times.append(self.ringing[0])
        return min(times) if times else None

    def past_due(self, now: int) -> Iterator[str]:
        """Requests whose last moment has come, whether they are answered or not."""
        while self.backstops and self.backstops[0][0] <= now:
            yield heappop(self.backstops)[1]

    def collect(self, now: int) -> bool:
        """Takes the alarms that have fallen due; whether gauges are to be asked for, as none are yet."""
        due = []
        while self.alarms and self.alarms[0][0] <= now:
            due.append(heappop(self.alarms)[1])
        if due and self.ringing is None:
            self.ringing = (now + RING_WAIT, due)
            return True
        if due:
            self.ringing[1].extend(due)
        return False

    def waited(self, now: int) -> bool:
        """Whether alarms have waited long enough for gauges."""
        return self.ringing is not None and self.ringing[0] <= now

    def rung(self) -> list[int]:
        tokens, self.ringing = self.ringing[1] if self.ringing else [], None
        return tokens
