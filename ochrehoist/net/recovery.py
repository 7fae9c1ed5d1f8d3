"""Binds witnesses and stages to one worker's journal, peers and clock. Only where [recovery] is on."""

import json
import secrets
import time
from pathlib import Path
from typing import Any

from ochrehoist.config.loader import Config
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.metrics import RequestCounter, format_samples
from ochrehoist.core.request import InboundRequest
from ochrehoist.net.loop import Loop
from ochrehoist.net.offloop import OffLoop
from ochrehoist.peers.wire import Life
from ochrehoist.recovery.stages import LOST, STAGES, Facts, Service, Way
from ochrehoist.recovery.witness import (
    AGAIN_S,
    ASK,
    KNOWN,
    TELL,
    TOLD,
    Ask,
    Asked,
    Begins,
    Known,
    Memory,
    Tell,
    decode,
    digest,
    encode,
    unknown,
)
from ochrehoist.store.loss import Case

TOPIC = "recovery"
LOOK_S = 0.1
SWEEP_S = 1.0  # between two looks for what is remembered no more
ASK_S = 3.0  # that witnesses have to answer, where the store itself is sound
SLACK_S = 1.0  # over the longest window, for what was on its way
S = 1_000_000_000
RECORD = "restarts.jsonl"


class Recovery:
    """The journal's Testifier, the peers' Extension and the core's Observer."""

    def __init__(self, loop: Loop, owner: CoreActor, config: Config, worker: Any, log: Any) -> None:
        """`worker`: its journal, peers and sites are looked at."""
        self.loop, self.owner, self.worker, self.log = loop, owner, worker, log
        self.config, self.patience = config.recovery, config.recovery.witness_timeout_ms / 1000
        now = time.monotonic()
        self.memory, self.begins = Memory(now), Begins(self.config.witnesses)
        self.asked: Asked | None = None
        self.testified = not self.config.witnesses
        self.known: dict[bytes, float] = {}  # that may have run, by witnesses, and until when
        self.way, self.service = Way(now), Service(now)
        self.swept = now
        self.said: dict[str, float] = {}  # when a try's words were last said
        self.peers = worker.peers
        if self.peers is not None:
            self.peers.group.extensions[TOPIC] = self
        if worker.journal is not None and self.config.witnesses:
            worker.journal.testifier = self
        owner.register_observer(self)
        self.writer = OffLoop(loop, "restarts") if config.state else None
        self.folder = Path(config.state.folder) if config.state else None
        loop.call_later(LOOK_S, self._look)

    # ---- what the journal asks
    def may_have_run(self, key: bytes) -> bool:
        """Whether a filing that is not on record may have run all the same."""
        if not self.testified:
            return True
        until = self.known.get(digest(key)) if self.known else None
        return until is not None and until > time.monotonic()

    def begin(self, request_id: str, key: bytes, left: float) -> None:
        """The journal hears by `witnessed`, soon or with False once it took too long."""
        now = time.monotonic()
        self.begins.add(request_id, key, left + SLACK_S, self.patience, now)
        self._tell(now)

    def drop(self, key: bytes) -> None:
        self.begins.never_ran(key)

    def journal_opened(self, keys: list[bytes]) -> None:
        """The store is in use, and what is on record is known."""
        self.restored = keys
        if self.config.witnesses and self.asked is None:
            longest = max((c.idempotency_window_ns for c in self.owner.settings.classes), default=0) / S
            self.asked = Asked(
                self.config.witnesses, longest + SLACK_S, secrets.randbits(40), time.monotonic()
            )

    # ---- the peers' extension
    def status(self, now: float) -> bytes:
        return b""

    def sends(self, now: float) -> list[tuple[str, str, bytes]]:
        out = (
            [(name, ASK, data) for name, data in self.asked.asks(now)]
            if self.asked and not self.testified
            else []
        )
        return out + [(name, TELL, data) for name, data in self._tells(now)]

    def _tells(self, now: float) -> list[tuple[str, bytes]]:
        def due(request_id: str) -> bool:
            if now - self.said.get(request_id, -1e9) < AGAIN_S:
                return False
            self.said[request_id] = now
            return True

        if len(self.said) > 4 * len(self.begins.waits) + 64:
            self.said = {i: at for i, at in self.said.items() if i in self.begins.waits}
        return self.begins.tells(now, due)

    def _tell(self, now: float) -> None:
        for name, data in self._tells(now):
            self.peers.say(name, f"{TOPIC}/{TELL}", data)

    def took(self, sender: Life, topic: str, data: bytes, now: float) -> list[tuple[str, bytes]]:
        m = decode(topic, data)
        if isinstance(m, Tell):
            if self.memory.took(sender.name, m, now):
                return [(TOLD, encode(m.number))]
        elif isinstance(m, Ask):
            return [(KNOWN, encode(self.memory.page(sender.name, m, now)))]
        elif isinstance(m, Known) and self.asked is not None and not self.testified:
            self.asked.took(sender.name, m, now)
            self._testify(now)
            return (
                [(ASK, data) for name, data in self.asked.asks(now) if name == sender.name]
                if not self.testified
                else []
            )
        elif topic == TOLD and isinstance(m, int):
            for request_id in self.begins.told(sender.name, m, now):
                self.worker.journal.witnessed(request_id, True)
        return []

    def _testify(self, now: float) -> None:
        """Once enough have answered, and waiting for more would prove no more, or took too long."""
        if not self.asked.settled(now) and not (self.asked.done and now - self.asked.began > ASK_S):
            return
        hold, journal = self.asked.hold(now), self.worker.journal
        self.known = unknown(self.asked.known, self.restored)
        self.testified = True
        if self._unsure():
            journal.hold_until = self.owner.clock() + int(hold * S)
        told = {"known": len(self.asked.known), "not_on_record": len(self.known)}
        self.log.info("witnesses have told what may have run", hold_s=self._held(), **told)
        if self.known:
            self.log.error("the store lacks filings that were begun: lost, or older than it was", **told)

    def _held(self) -> float:
        return round(max(0.0, (self.worker.journal.hold_until - self.owner.clock()) / S), 1)

    def _unsure(self) -> bool:
        """Whether the store itself can't tell what ran: it is lost, or there never was one."""
        j = self.worker.journal
        return bool(j.losses) or j.hold_until > self.owner.clock() or j.opened.case is Case.FIRST

    # ---- time
    def _look(self) -> None:
        now = time.monotonic()
        if self.asked is not None and not self.testified:
            self._without_testimony(now)
        for request_id in self.begins.late(now):
            self.worker.journal.witnessed(request_id, False)
        if now - self.swept >= SWEEP_S:  # it looks at all that is remembered
            self.swept = now
            self.memory.forget(now)
        entered = self.way.look(now, self._facts(), self.service)
        if entered is not None:
            self.log.info("on the way back", stage=entered, why=self.way.now_in.why)
            if self.way.over:
                self._record(now)
        self.loop.call_later(LOOK_S, self._look)

    def _without_testimony(self, now: float) -> None:
        """A sound store is believed where too few witnesses answer; without one filings are held back."""
        self._testify(now)
        if self.testified or now - self.asked.began <= ASK_S:
            return
        self.testified = True
        if self._unsure():
            window = self.owner.clock() + int(self.asked.window * S)
            self.worker.journal.hold_until = max(self.worker.journal.hold_until, window)
        self.log.warning(
            "too few witnesses answered",
            of=len(self.config.witnesses),
            hold_s=self._held(),
            answered=[n for n, t in self.asked.by.items() if t.whole],
        )

    def _facts(self) -> Facts:
        w = self.worker
        hold = None
        if w.journal is not None:
            hold = max(0.0, (w.journal.hold_until - self.owner.clock()) / S)
            if w.journal.restored and not self.testified:
                hold = max(hold, 0.1)
        peers = None
        if self.peers is not None and (self.peers.config.members or self.peers.config.seed_addresses):
            peers = self.peers.group.members.established
        answered = None
        if w.config.ajp and any(p.failed_at > self.way.began for p in w.ajp_servers.pools):
            answered = self.service.share() not in (None, 0.0)
        return Facts(
            None if w.journal is None else w.journal.restored, hold, peers, answered, self.owner.load_fraction
        )

    def _record(self, now: float) -> None:
        """A line for each start: how long it took, and which stage was longest."""
        line = {"at": int(time.time()), "name": self.worker.config.name, **self.way.record(now)}
        self.log.info("at full service", **self.way.record(now))
        if self.writer is not None:
            self.writer.submit(lambda: self._write(json.dumps(line) + "\n"), lambda *_: None)

    def _write(self, line: str) -> None:
        with open(self.folder / RECORD, "a", encoding="utf-8") as file:
            file.write(line)

    # ---- the core's observer
    def request_arrived(self, request: InboundRequest) -> None:
        pass

    def request_answered(self, request: InboundRequest, figure: str | None, backoff: int) -> None:
        if figure is None:
            return
        now = time.monotonic()
        if figure == RequestCounter.ANSWERED:
            late = self.owner.now_ns > request.arrived_ns + request.request_class.latency_objective_ns
            self.service.count("late" if late else "good", now)
        else:
            self.service.count("refused" if figure == RequestCounter.REJECTED else "failed", now)

    # ---- operators
    def skip(self, stage: str) -> str:
        """KeyError where there is no such stage."""
        if stage not in STAGES:
            raise KeyError(stage)
        self.way.skipped.add(stage)
        if stage == LOST and self.worker.journal is not None:
            self.worker.journal.hold_until = 0
            self.testified, self.known = True, {}
        self.log.warning("operators", skipped=stage)
        return f"{stage} is skipped"

    def view(self) -> dict[str, Any]:
        now = time.monotonic()
        waits = sorted(self.begins.took)
        return {
            "stage": self.way.now_in.name,
            "why": self.way.now_in.why,
            "for_s": round(now - self.way.now_in.began, 1),
            "stages": [
                {"stage": s.name, "for_s": round((s.ended or now) - s.began, 2), "why": s.why}
                for s in self.way.stages
            ],
            "so_far": self.way.record(now),
            "in_time": self.service.share(),
            "witnesses": {
                "names": list(self.config.witnesses),
                "testified": self.testified,
                "not_on_record": len(self.known),
                "waiting": len(self.begins.waits),
                "wait_ms": {
                    p: round(1000 * waits[int(len(waits) * q)], 2) for p, q in (("p50", 0.5), ("p99", 0.99))
                }
                if waits
                else {},
            },
            "remembers": {name: len(kept) for name, kept in self.memory.kept.items()},
        }

    def figures(self) -> str:
        now = time.monotonic()
        spans = {s: 0.0 for s in STAGES}
        for s in self.way.stages:
            spans[s.name] += (s.ended or now) - s.began
        return format_samples(
            {
                "app_recovery_stage": [(f'{{stage="{s}"}}', int(s == self.way.now_in.name)) for s in STAGES],
                "app_recovery_seconds": [
                    (f'{{stage="{s}"}}', round(v, 3)) for s, v in spans.items() if s != "full"
                ],
                "app_witnessed_filings": [("", self.memory.count)],
                "app_filings_not_on_record": [("", len(self.known))],
            }
        )

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close(0.5)
