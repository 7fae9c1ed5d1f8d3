"""The core's journal: filings go on record before they begin, and come back after a restart.

It lives on the loop and never waits: `Backlog` decides, a thread carries out, and the core is told by
messages.
"""

import gc
import json
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from ochrehoist.admission import learned_state
from ochrehoist.admission.events import Outcome
from ochrehoist.config.schema import StateConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.idempotency_table import IdempotentRun
from ochrehoist.core.messages import DuplicateResolved, IntentRecorded, StateRestored
from ochrehoist.core.persisted_names import OUTCOME_NAMES, OUTCOMES_BY_NAME
from ochrehoist.core.protocols import DetailCodec, IntentReplicator
from ochrehoist.core.request import IdempotencyKey, InboundRequest
from ochrehoist.core.results import Rejection, RunResult
from ochrehoist.errors import InvalidInputError
from ochrehoist.net.loop import Loop
from ochrehoist.net.offloop import OffLoop
from ochrehoist.store import disk
from ochrehoist.store.ageing import Stamp, aged
from ochrehoist.store.backlog import Backlog, Begin, Drop, End, Error, Op, Save
from ochrehoist.store.clock import stamp_now
from ochrehoist.store.disk import Failed, Held, Lock
from ochrehoist.store.loss import Case, held_for
from ochrehoist.store.opening import Opened, Witness, make_folder, must_hold_a_store, open_folder, rewrite
from ochrehoist.store.points import reached
from ochrehoist.store.records import Begun, Finished, Learned, key_of

SECOND = 1_000_000_000
RETRY = 0.02  # s between two looks at a lock that the process before this one still has
LONG = 3.0  # s after which waiting for it is worth a line in the log
REOPEN = (0.25, 10.0)  # s until a folder that could not be opened is tried again, doubled up to the last
LONGEST_US = 60_000_000  # the longest commit that is told apart
FLUSH = 1.0  # s at the most for what waits, at the end of the process


class Journal:
    """`replacing`: another process may still have the folder, and will let go of it."""

    def __init__(
        self,
        loop: Loop,
        owner: CoreActor,
        config: StateConfig,
        name: str,
        codec: DetailCodec,
        log: Any,
        replacing: bool,
    ) -> None:
        self.loop, self.owner, self.config, self.name = loop, owner, config, name
        self.codec, self.log, self.folder = codec, log, Path(config.folder)
        self.backlog = Backlog(config.group_commit_delay_ms / 1000, config.max_disk_wait_ms / 1000)
        self.lock: Lock | None = None
        self.opened: Opened | None = None
        self.witness: Witness | None = None
        self.learned: Learned | None = None  # the newest, as it was last put on record
        self.hold_until = 0  # by the core's clock
        self.timer: Any = None
        self.released = self.stopping = self.restored = False
        self.wait = REOPEN[0]
        self.latency = HdrHistogram(1, LONGEST_US, 2)  # us from the first of a group to its commit
        self.commits = self.operations = self.losses = self.refusals = 0
        self.committed_at: float | None = None
        self.bytes = 0  # on disk, as of the last commit
        self.trouble = ""  # the last error, until a commit goes well
        self.asked_at = time.monotonic()  # for the folder
        self.when_restored: list[Callable[[], None]] = []
        try:
            self._folder_there()
            if not replacing:
                self.lock = Lock(self.folder, name)
        except Held as held:
            raise InvalidInputError(
                f"setting state.folder: {self.folder}: in use by {held}; stop that one first, or "
                "replace it: the same name and TMPDIR"
            ) from None
        except FileNotFoundError as error:
            raise InvalidInputError(f"setting state.folder: {self.folder}: {error.strerror}") from None
        except Failed as missing:
            self._in_trouble(missing)
        except OSError as error:
            self._in_trouble(disk.failure(error))
        self.testifier: IntentReplicator | None = None
        self.unready: dict[str, int] = {}  # tries that are to begin, and how much of it is still awaited
        self.thread = OffLoop(loop, "journal")

    def _folder_there(self) -> None:
        if self.config.must_exist:
            must_hold_a_store(self.folder)
        else:
            make_folder(self.folder)

    # ---- taking the folder into use
    def open(self) -> None:
        """Told to the core by a Restored, sooner or later."""
        self.asked_at = time.monotonic()
        self._open_again()

    def _open_again(self) -> None:
        longest = max((c.idempotency_window_ns for c in self.owner.settings.classes), default=0)
        gc.disable()  # what is taken up stays: looking through it meanwhile takes as long again
        self.thread.submit(lambda: self._open(longest), self._was_opened)

    def _open(self, longest: int) -> tuple[Opened, dict[IdempotencyKey, IdempotentRun]]:
        reached("open")
        if self.lock is None:
            self._folder_there()
            self.lock = Lock(self.folder, self.name)
        reached("opened")
        # Both clocks are read at one moment: windows run on while the folder is opened.
        stamp, now = stamp_now(), self.owner.clock()
        opened = open_folder(self.folder, self.config.max_mb, longest, stamp)
        self.witness = Witness(self.folder)
        self.witness.write(opened.db.census.number)
        runs, names, begun = {}, {}, opened.begun
        while begun:  # each goes as it is taken up: all at once take much memory
            record, left, stored = begun.pop()
            tenant, kind, key = record.token
            token = names.setdefault(tenant, tenant), names.setdefault(kind, kind), key
            known = None if record.body is None else (record.target, record.body)
            runs[token] = IdempotentRun(record.id, now + left, known, None, True, stored, False, True)
        return opened, runs

    def _was_opened(
        self, found: tuple[Opened, dict[IdempotencyKey, IdempotentRun]] | None, error: Exception | None
    ) -> None:
        gc.enable()
        if error is not None:
            held = isinstance(error, Held)
            if not held:
                self._in_trouble(error)
            elif time.monotonic() - self.asked_at > LONG:
                self._in_trouble(Held(f"waits for the folder: in use by {error}"))
            if not self.stopping:
                self.loop.call_later(RETRY if held else self.wait, self._open_again)
                self.wait = RETRY if held else min(REOPEN[1], 2 * self.wait)
            return
        opened, restored = found
        self.opened, self.trouble, self.bytes = opened, "", opened.db.bytes
        if self.released:  # meanwhile another process decides, and wants the folder
            return
        for name in opened.set_aside:
            self.log.error("a damaged store was set aside", store=name, why=opened.why)
        if opened.why:
            self.losses += 1
            self.log.error("what ran before is not fully known", why=opened.why, on_loss=self.config.on_loss)
        now = self.owner.clock()
        self.hold_until = now + held_for(opened.loss, self.config.on_loss, stamp_now())
        if self.hold_until > now:
            left = (self.hold_until - now) // SECOND + 1
            self.log.warning("filings that are not known are refused", for_s=left)
        self.learned, lesson = opened.learned, None
        if opened.learned is not None and opened.learned.layout == learned_state.LAYOUT:
            try:
                lesson = aged(
                    opened.learned.values,
                    opened.learned.at,
                    stamp_now(),
                    int(self.config.snapshot_half_life_s * SECOND),
                    self.owner.started_cold,
                )
            except (KeyError, TypeError, ValueError) as fault:
                self.log.warning("what was learned can't be read", why=repr(fault))
        before = dict(self.owner.idempotency.runs)
        self.backlog.open = True
        for record in opened.stale:
            self._add(Drop(key_of(record.token)))
        for token, run in before.items():  # of the process before this one, whose store this is now
            on_record = restored.get(token)
            if on_record is None or on_record.id != run.id:
                self._add(Begin("", key_of(token), self._begun(token, run)))
            if run.result is not None and not (on_record and on_record.result_stored):
                self.end(token, run, run.result)
        self.log.info(
            "the store is open", case=opened.case.value, filings=len(restored), stale=len(opened.stale)
        )
        opened.stale = []
        if self.testifier is not None:
            self.testifier.journal_opened([key_of(token) for token in {**restored, **before}])
        gc.freeze()  # they stay: looking through them again and again would hold up the loop
        self.owner.post(StateRestored(restored, lesson))
        self.restored = True
        for call in self.when_restored:
            call()
        self._look()
        self.loop.call_later(self.config.snapshot_interval_s, self._learn)

    # ---- what the core asks
    def rejection_for(self, token: IdempotencyKey) -> Rejection | None:
        """Whether a filing that is not known can't be taken now, and what its caller is told."""
        if not self.restored:
            return Rejection(0, outcome_unknown=True)
        if self.testifier is not None and self.testifier.may_have_run(key_of(token)):
            self.refusals += 1
            return Rejection(0, outcome_unknown=True)
        if self.backlog.refuses(time.monotonic()):
            self.refusals += 1
            return Rejection(SECOND)
        left = self.hold_until - self.owner.clock()
        if left > 0:
            self.refusals += 1
            return Rejection(left)
        return None

    def begin(self, r: InboundRequest, run: IdempotentRun) -> None:
        """Told to the core by a Recorded, by the time that `stall_ms` is over."""
        if self.backlog.refuses(time.monotonic()):
            return self._refused([r.id])
        reached("begin")
        record = self._begun(r.idempotency_key, run)
        self._add(Begin(r.id, key_of(r.idempotency_key), record))
        if self.testifier is not None:
            self.unready[r.id] = 2
            self.testifier.begin(r.id, key_of(r.idempotency_key), record.left / SECOND)

    def replicate_intents_to(self, replicator: IntentReplicator) -> None:
        """From now on a run begins only once `replicator` has said so by `witnessed`."""
        self.testifier = replicator

    def hold_unknown_keys_until(self, until_ns: int) -> None:
        """Unknown idempotency keys are rejected until then, by the core's clock; 0: no longer."""
        self.hold_until = until_ns

    def is_history_uncertain(self) -> bool:
        """Whether the open store itself cannot tell what ran: it is lost, or there never was one."""
        return bool(self.losses) or self.hold_until > self.owner.clock() or self.opened.case is Case.FIRST

    def witnessed(self, request_id: str, ok: bool) -> None:
        """Enough others know of a filing that is to begin; or they did not answer in time."""
        if ok:
            self._ready(request_id)
        elif self.unready.pop(request_id, None) is not None:
            self._refused([request_id])

    def _ready(self, request_id: str) -> None:
        """One of the things that a filing waits for has come."""
        left = self.unready.get(request_id)
        if left is None:
            return
        if left > 1:
            self.unready[request_id] = left - 1
            return
        del self.unready[request_id]
        self.owner.post(IntentRecorded(request_id, True))

    def _begun(self, token: IdempotencyKey, run: IdempotentRun) -> Begun:
        windows = {c.name: c.idempotency_window_ns for c in self.owner.settings.classes}
        return self._record(token, run, windows, self.owner.clock(), stamp_now())

    def _record(
        self, token: IdempotencyKey, run: IdempotentRun, windows: dict[str, int], now: int, stamp: Stamp
    ) -> Begun:
        left = max(0, run.window_end_ns - now)
        target, body = run.fingerprint or (None, None)
        return Begun(token, run.id, max(left, windows.get(token[1], 0)), left, stamp, target, body, self.name)

    def end(self, token: IdempotencyKey, run: IdempotentRun, result: RunResult) -> None:
        reached("end")
        line = json.dumps(self.codec.to_json(result.detail)).encode()
        record = Finished(
            OUTCOME_NAMES[result.outcome], result.success, result.body, line, result.detail_bytes
        )
        if len(result.body) + len(line) > self.config.max_result_kb * 1024:
            self.backlog.not_recorded += 1
            return
        run.result_stored = self._add(End(key_of(token), record))

    def drop(self, token: IdempotencyKey) -> None:
        self._add(Drop(key_of(token)))

    def never_ran(self, token: IdempotencyKey) -> None:
        """It was to begin, and did not."""
        self.drop(token)
        if self.testifier is not None:
            self.testifier.drop(key_of(token))

    def fetch(self, token: IdempotencyKey, request_id: str) -> None:
        """Told to the core by a Joined: with the result, or as failed where it can't be had."""
        key = key_of(token)

        def done(record: Finished | None, error: Exception | None) -> None:
            self.owner.post(DuplicateResolved(request_id, self._result(record) or RunResult(Outcome.FAILED)))

        waiting = self.backlog.end_of(key)
        if waiting is not None:
            done(waiting, None)
        elif self.opened is None:
            done(None, None)
        else:
            self.thread.submit(lambda: self.opened.db.fetch(key), done)

    def _result(self, record: Finished | None) -> RunResult | None:
        with suppress(KeyError, TypeError, ValueError):
            if record is not None:
                return RunResult(
                    OUTCOMES_BY_NAME[record.outcome],
                    record.body,
                    self.codec.from_json(json.loads(record.detail)),
                    record.detail_bytes,
                    record.success,
                )
        return None

    # ---- to the disk and back
    def _add(self, op: Op) -> bool:
        added = self.backlog.add(time.monotonic(), op)
        self._look()
        return added

    def _look(self) -> None:
        """Sends what is due, and looks again in time."""
        now = time.monotonic()
        late = self.backlog.overdue(now)
        if late:
            self.log.warning("filings were not begun: the disk does not answer", count=len(late))
            self._refused(late)
        if self.backlog.may_rebuild(now):
            self._rebuild(now)
        group = self.backlog.group(now)
        if group is not None:
            self.thread.submit(lambda: self._commit(group), self._was_committed)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.backlog.due(now)
        if due is not None and not self.stopping:
            self.timer = self.loop.call_later(due - now, self._look)

    def _commit(self, group: list[Op]) -> int:
        reached("commit")
        number = self.opened.db.commit(group)
        reached("committed")
        self.witness.write(number)
        self.opened.db.tidy()
        self.bytes = self.opened.db.bytes
        return len(group)

    def _was_committed(self, count: int | None, error: Exception | None) -> None:
        now = time.monotonic()
        if error is not None:
            self._in_trouble(error)
            failed = error.error if isinstance(error, Failed) else Error.IO
            self._refused(self.backlog.failed(now, failed))
            return self._look()
        if self.trouble:
            self.log.info("the store works again")
            self.trouble = ""
        self.commits, self.operations, self.committed_at = self.commits + 1, self.operations + count, now
        self.latency.record_value(min(LONGEST_US, max(1, int((now - self.backlog.sent_at) * 1e6))))
        for request_id in self.backlog.committed():
            reached("recorded")
            if self.testifier is None:
                self.owner.post(IntentRecorded(request_id, True))
            else:
                self._ready(request_id)
        self._look()

    def _refused(self, ids: list[str]) -> None:
        for request_id in ids:
            self.unready.pop(request_id, None)
            self.owner.post(IntentRecorded(request_id, False, SECOND))

    def _rebuild(self, now: float) -> None:
        """From what the core knows: what the disk still shows may not be there after the next power cut."""
        runs, live = list(self.owner.idempotency.runs.items()), frozenset(self.owner.open_requests)
        windows = {c.name: c.idempotency_window_ns for c in self.owner.settings.classes}
        loss, learned = self.opened.loss, self.learned
        clock, stamp = self.owner.clock(), stamp_now()

        def write() -> Any:
            # Off the loop, as there may be very many. What ends meanwhile is among what waits.
            begun = [
                self._record(token, run, windows, clock, stamp)
                for token, run in runs
                if run.result is not None or run.result_evicted or run.id in live
            ]
            return rewrite(self.opened, self.config.max_mb, begun, loss, learned)

        self.backlog.rebuilding(now)
        self.thread.submit(write, self._was_rebuilt)

    def _was_rebuilt(self, db: Any, error: Exception | None) -> None:
        if error is not None:
            self._in_trouble(error)
            self._refused(self.backlog.failed(time.monotonic(), Error.IO))
        else:
            self.witness.write(db.census.number)
            self.backlog.rebuilt()
            self.log.warning("the store was written anew", set_aside=self.opened.set_aside[-1])
            self.trouble = ""
        self._look()

    def _in_trouble(self, error: Exception) -> None:
        if str(error) != self.trouble:
            self.trouble = str(error)
            self.log.error("the store can't be used: filings are refused, all else goes on", why=str(error))

    # ---- what was learned
    def _learn(self) -> None:
        if self.stopping or self.released:
            return
        self.save_learned()
        self.loop.call_later(self.config.snapshot_interval_s, self._learn)

    def save_learned(self) -> None:
        if self.owner.controller is not None and self.restored:
            self.learned = Learned(
                stamp_now(), learned_state.snapshot(self.owner.controller), learned_state.LAYOUT
            )
            self._add(Save(disk.LEARNED, self.learned))

    # ---- the end
    def release(self) -> None:
        """Another process decides now: writes what waits, and lets go of the folder."""
        self.released = True
        # Nobody hears this process any more: what still waits for witnesses was never begun.
        self._refused(list(self.unready))
        self._flush_until(time.monotonic() + FLUSH)

    def _flush_until(self, until: float) -> None:
        self._look()
        if len(self.backlog) and time.monotonic() < until:
            self.loop.call_later(0.002, lambda: self._flush_until(until))
        else:
            self.backlog.open = False
            self.thread.submit(self._let_go, lambda _, error: self.log.info("the store was let go"))

    def _let_go(self) -> None:
        reached("release")
        if self.opened is not None:
            self.opened.db.close()
            self.opened = None
        if self.witness is not None:
            self.witness.close()
            self.witness = None
        if self.lock is not None:
            self.lock.release()
        reached("released")

    def close(self) -> None:
        """At the end of the process, when the loop no longer runs."""
        if not self.released:
            self.save_learned()
            until = time.monotonic() + FLUSH
            while (
                len(self.backlog)
                and self.backlog.open
                and self.backlog.error is None
                and time.monotonic() < until
            ):
                self._look()
                self.thread.tell()
                time.sleep(0.001)
        self.stopping = True
        self.thread.submit(self._let_go, lambda *_: None)
        if not self.thread.close(FLUSH):
            self.log.error("the disk does not answer: what waits is not on record", count=len(self.backlog))

    # ---- for operators
    def view(self) -> dict[str, Any]:
        now, hold = time.monotonic(), max(0, self.hold_until - self.owner.clock())
        return {
            "folder": str(self.folder),
            "open": self.backlog.open,
            "bytes": self.bytes,
            "refuses": self.backlog.refuses(now) or ("a loss" if hold else ""),
            "hold_s": hold // SECOND,
            "trouble": self.trouble,
            "waiting": len(self.backlog),
            "commits": self.commits,
            "operations": self.operations,
            "refused": self.refusals,
            "last_commit_s": None if self.committed_at is None else round(now - self.committed_at, 1),
            "commit_ms": {
                name: round(self.latency.get_value_at_percentile(p) / 1000, 2)
                for name, p in (("p50", 50), ("p99", 99), ("max", 100))
            },
            "losses": self.losses,
            "not_recorded": self.backlog.not_recorded,
            "set_aside": [] if self.opened is None else self.opened.set_aside,
        }

    def figures(self) -> str:
        """Lines in the exposition format, behind those of the core."""
        view = self.view()
        lines = []
        for name, kind, value in (
            ("store_bytes", "gauge", view["bytes"]),
            ("store_waiting", "gauge", view["waiting"]),
            ("store_open", "gauge", int(view["open"])),
            ("store_refusing", "gauge", int(bool(view["refuses"]))),
            ("store_commits_total", "counter", self.commits),
            ("store_operations_total", "counter", self.operations),
            ("store_losses_total", "counter", self.losses),
            ("store_not_recorded_total", "counter", self.backlog.not_recorded),
        ):
            lines += [f"# TYPE app_{name} {kind}", f"app_{name} {value}"]
        lines.append("# TYPE app_store_commit_seconds summary")
        lines += [
            f'app_store_commit_seconds{{quantile="{p / 100}"}} '
            f"{self.latency.get_value_at_percentile(p) / 1e6}"
            for p in (50, 90, 99, 99.9)
        ]
        lines.append(f"app_store_commit_seconds_count {self.latency.get_total_count()}")
        return "\n".join(lines) + "\n"
