"""How a process ends: after the notice to leave, or because another one has taken its place."""

import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import ShutdownRequested
from ochrehoist.net.loop import Loop

MS = 1_000_000
QUIET = 0.05  # s without a request in hand before a process ends
END_EARLY = 0.1  # s before it would be killed; the core answers what is left a little earlier still
LONGEST = 3.0  # s that a replaced process has at most, and
AFTER = 0.5  # s more, before it would be killed
LAST = 0.2  # s before that, at which what is still open is failed
STEP = 0.01
CLOSING = 0.04  # s at the end in which what is still connected takes its last answers and closes


class Front(Protocol):
    connections: set
    listening: Any

    def end_idle(self) -> None: ...

    def retire(self) -> None: ...


class Ending:
    def __init__(self, loop: Loop, owner: CoreActor, fronts: Sequence[Front], stop_ms: int, log: Any) -> None:
        self.loop, self.owner, self.fronts, self.stop_ms, self.log = loop, owner, fronts, stop_ms, log
        self.since: float | None = None

    def leave(self) -> None:
        """The notice to leave. One that was replaced is ending already, and tells nobody."""
        if self.since is None and self.owner.forwarder is None:
            # The end counts from the notice, which came after the loop last looked for one.
            self.since = self.loop.looked
            age = int((time.monotonic() - self.since) * 1e9)
            self.log.info("leaving", stop_ms=self.stop_ms, in_hand=self.owner.unanswered, age_ms=age // MS)
            self.owner.post(ShutdownRequested(max(0, self.stop_ms * MS - age), age))
            self.loop.spawn(self._drain)

    def _drain(self) -> None:
        """Answers all that was read, and ends as soon as no request can come any more."""
        stop = self.since + self.stop_ms / 1000 - END_EARLY
        # What comes later would not be run: from then on a refused connection tells as much.
        closing = min(self.since + self.owner.settings.drain_grace_ns / 1e9, stop - 0.3)
        while time.monotonic() < closing and self.owner.forwarder is None:
            self.loop.sleep(min(0.05, max(0.001, closing - time.monotonic())))
        if self.owner.forwarder is None:
            for front in self.fronts:
                front.listening.stop()
                front.retire()
            self._until_quiet(stop, lambda: self.owner.unanswered or self.owner.inbox)
            if self.owner.forwarder is None:
                self._close_all()

    def retire(self, tell: Callable[[dict[str, int]], None]) -> None:
        """Another process decides now: ends as soon as nothing is left that only this one can do."""
        for front in self.fronts:
            front.listening.stop(leave_queue=True)
            front.retire()
        self.loop.spawn(self._retire, tell)

    def _retire(self, tell: Callable[[dict[str, int]], None]) -> None:
        longest = max(c.deadline_ns for c in self.owner.settings.classes) / 1e9
        told: list[dict] = []

        def busy() -> bool:
            now = {type(front).__name__: len(front.connections) for front in self.fronts}
            if told[-1:] != [now]:
                told[:] = [now]
                tell(now)
            return bool(self.owner.forwarder.pending or self.owner.inbox)

        span = min(longest, LONGEST) + AFTER
        # What has no answer by then would end with this process, and its caller hear nothing.
        self.owner.forwarder.answer_all_by(self.owner.clock() + int((span - LAST) * 1e9))
        self._until_quiet(time.monotonic() + span, busy)
        self._close_all()

    def _close_all(self) -> None:
        """Ends the process. What it left to the system would be reset where bytes are unread, and take
        answers with it: so what is here is answered, then each connection is shut, drained and closed."""
        until = time.monotonic() + CLOSING
        for front in self.fronts:
            front.listening.stop(leave_queue=True)
            for c in list(front.connections):
                c.stream.look()
        self.loop.sleep(STEP)
        for front in self.fronts:
            for c in list(front.connections):
                c.stream.close_when_sent()
        while time.monotonic() < until and any(f.connections for f in self.fronts):
            self.loop.sleep(STEP / 2)
        self.loop.stop()

    def _until_quiet(self, stop: float, busy: Callable[[], Any]) -> None:
        quiet = 0.0
        while time.monotonic() < stop and quiet < QUIET:
            for front in self.fronts:
                front.end_idle()
            quiet = 0.0 if busy() or any(f.connections for f in self.fronts) else quiet + STEP
            self.loop.sleep(STEP)
