"""Filings by their token: which try holds the entry, which one ran, and what came of it.

Guards the rule that a filing never runs twice, whichever front its tries come by.
"""

from collections import OrderedDict
from dataclasses import dataclass

from ochrehoist.core.request import Fingerprint, IdempotencyKey
from ochrehoist.core.results import RunResult

NOBODY = (None, 0, None)
# Ns for which a run is known beyond its window: times come in whole ms, and two clocks are read for each, one
# after the other, by a process that may be stopped in between. A result told too long harms nobody.
EDGE = 100_000_000


@dataclass(slots=True)
class Run:
    """The try of a filing that ran. Its window counts from that try's arrival, and ends an edge later."""

    id: str
    window_end: int
    fingerprint: Fingerprint | None
    result: RunResult | None = None
    dropped: bool = False  # the result was too much to keep; the run itself is never forgotten early
    stored: bool = False  # its result is on record: it can be had from there
    begun: bool = False  # given to its executor, once on record; without a journal nobody asks
    asleep: bool = False  # of before a restart, and the module has not heard of it
    waiters: tuple[str, ...] = ()  # tries that wait for its result


class KeyTable:
    """Entries and runs by token. `slack` is how long after its arrival a try may still be read."""

    def __init__(self, slack: int, max_bytes: int) -> None:
        self.slack, self.max_bytes, self.bytes = slack, max_bytes, 0
        # By token: the try that holds the entry, until when, and a fingerprint of its content.
        self.entries: dict[IdempotencyKey, tuple[str, int, Fingerprint | None]] = {}
        self.held_by: dict[str, IdempotencyKey] = {}
        self.runs: dict[IdempotencyKey, Run] = {}
        self.stored: OrderedDict[IdempotencyKey, int] = (
            OrderedDict()
        )  # sizes of the results kept, oldest first

    def original(self, token: IdempotencyKey, arrived: int) -> str | None:
        """The try that one which arrived then repeats: judged by its arrival, however late it is read."""
        holder, until, _ = self.entries.get(token, NOBODY)
        if holder is not None and arrived <= until:
            return holder
        run = self.runs.get(token)
        return run.id if run is not None and arrived <= run.window_end else None

    def same(self, token: IdempotencyKey, arrived: int, fingerprint: Fingerprint | None) -> bool:
        """False where the token stands for other content, as far as both are known."""
        _, until, known = self.entries.get(token, NOBODY)
        run = self.runs.get(token)
        if run is not None and arrived <= run.window_end:
            until, known = run.window_end, known or run.fingerprint
        if arrived > until or known is None or fingerprint is None:
            return True
        # Only one wire tells a target: there it counts, the body counts everywhere.
        targets = {known[0], fingerprint[0]} - {None}
        return known[1] == fingerprint[1] and len(targets) < 2

    def keep(self, token: IdempotencyKey, holder: str, until: int, fingerprint: Fingerprint | None) -> None:
        self._drop(token)
        self.entries[token], self.held_by[holder] = (holder, until, fingerprint), token

    def forget(self, holder: str) -> None:
        token = self.held_by.get(holder)
        if token is not None:
            self._drop(token)

    def _drop(self, token: IdempotencyKey) -> None:
        holder = self.entries.pop(token, NOBODY)[0]
        if holder is not None:
            del self.held_by[holder]

    def may_run(self, token: IdempotencyKey, arrived: int) -> bool:
        run = self.runs.get(token)
        return run is None or (arrived > run.window_end and (run.result is not None or run.dropped))

    def started(
        self, token: IdempotencyKey, holder: str, window_end: int, fingerprint: Fingerprint | None
    ) -> None:
        self._release(token)
        self.runs[token] = Run(holder, window_end + EDGE, fingerprint)

    def never_ran(self, token: IdempotencyKey, holder: str) -> list[str]:
        """Takes back a run that was never begun: a later try may run. Gives the repeats that waited."""
        run = self.runs.get(token)
        if run is None or run.id != holder:
            return []
        del self.runs[token]
        return list(run.waiters)

    def ended(self, token: IdempotencyKey, holder: str, result: RunResult, kept_bytes: int) -> list[str]:
        """Stores the result of a run and gives the repeats that waited for it."""
        run = self.runs.get(token)
        if run is None or run.id != holder:
            return []
        waiters, run.waiters = list(run.waiters), ()
        run.result = result
        self.stored[token] = kept_bytes
        self.bytes += kept_bytes
        while self.bytes > self.max_bytes:  # memory is bounded: the oldest results go, their runs stay known
            oldest = next(iter(self.stored))
            self.runs[oldest].dropped = True
            self._release(oldest)
        return waiters

    def _release(self, token: IdempotencyKey) -> None:
        self.bytes -= self.stored.pop(token, 0)
        if token in self.runs:
            self.runs[token].result = None

    def sweep(self, now: int) -> list[IdempotencyKey]:
        """Lets go of what no try that can still be read would name; gives the tokens of runs."""
        past = now - self.slack
        for token in [t for t, entry in self.entries.items() if entry[1] < past]:
            self._drop(token)
        over = [
            t for t, r in self.runs.items() if r.window_end < past and (r.result is not None or r.dropped)
        ]
        for token in over:
            self._release(token)
            del self.runs[token]
        return over
