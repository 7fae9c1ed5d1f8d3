"""The configuration read again while the worker runs: by order, or because the worker is cut off.

It is read, compared and prepared in steps, between which all else has its turn, and comes into force in one:
what was read under the old one is decided by the old one, and no request ever meets half of a change.
"""

import time
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass, replace
from typing import Any

from ochrehoist.config import loader as configuration
from ochrehoist.config.loader import Config
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.kernel_link_monitor import KernelLinkMonitor
from ochrehoist.core.messages import ConfigurationSwitched, KernelLinkChanged, SettingsChanged, TenantsChanged
from ochrehoist.core.metrics import ReloadCounter, RequestCounter, format_samples
from ochrehoist.core.tenants import NAMES_PER_STEP, TenantTable, compacted_table, updated_table
from ochrehoist.errors import InvalidInputError
from ochrehoist.net.kernel import Kernel
from ochrehoist.net.loop import Loop, Signal

LOOK = 0.25  # s from one look at the kernel's link to the next
AFTER = 3.0  # s after a change of configuration at which the log tells what has come of it
SLICE = 0.001  # s that steps take of a turn of the loop, and what the last of them takes more
PAUSE = 1.0  # of the time that a turn's steps took, which all else has at least before the next
LET_GO = 0.005  # s after a switch, and between two parts of what was in force before
STAND = 0.01  # s between looks at a core that stands still while its state is handed over
COUNTED = {
    "served": RequestCounter.ANSWERED,
    "refused": RequestCounter.REJECTED,
    "failed": RequestCounter.FAILED,
}

Commit = Callable[[], None]
Steps = Generator[None, None, Commit]
Part = Callable[
    [Config, TenantTable], Steps
]  # what takes settings: builds what it needs, and gives the switch


def switch_only(configure: Callable[[Config, TenantTable], None]) -> Part:
    """A part that has nothing to prepare."""

    def prepare(new: Config, tenants: TenantTable) -> Steps:
        return lambda: configure(new, tenants)
        yield

    return prepare


@dataclass(slots=True)
class Change:
    """One that is ready to come into force."""

    config: Config
    version: str
    fixed: list[str]  # keys that differ and need a restart
    message: SettingsChanged | TenantsChanged | None  # for the core; None where it is not concerned
    commits: list[Commit]
    in_force: bool = False


class Reloading:
    """Reads the configuration whole and hands what can change to `parts`.

    Nothing is lost by it: runs, keys, notices and open connections go on. A bad file changes nothing.
    """

    def __init__(
        self,
        loop: Loop,
        owner: CoreActor,
        config: Config,
        path: str | None,
        parts: Sequence[Part],
        kernel: Kernel | None,
        log: Any,
    ) -> None:
        self.loop, self.owner, self.path, self.parts, self.log = loop, owner, path, parts, log
        self.config, self.kernel, self.watch = config, kernel, KernelLinkMonitor()
        self.good = True  # the kernel is within reach, or was a moment ago
        self.last, self.why, self.at = "start", "", time.monotonic()
        self.version, self.since = config.version, time.time()  # in force, and since when (Unix s)
        self.reading = False  # a task is at it
        self.switched = Signal(loop)
        self.ordered = False  # and one more reading is due after it: the file may have changed since
        self.held = self.longest = 0.0  # s that the last reading, and any, held up the loop at most
        self.read_s = self.switch_s = 0.0  # of the last change: from its reading until in force; its switch
        self.before = self._counts()

    def order(self) -> None:
        """SIGHUP. However many come while a file is read, it is read once more after the last of them."""
        if self.owner.forwarder is not None:
            return  # the file is for the process that decides now
        self.ordered = True
        self._begin()

    def watch_link(self) -> None:
        """A task: the kernel's link is looked at for good."""
        while self.owner.forwarder is None:
            if self.kernel.booted:  # a kernel that was never up is waited for
                self._look()
            self.loop.sleep(LOOK)

    def view(self) -> dict[str, Any]:
        """For operators: what is in force and how it came about, and what has come of it since."""
        values = {"last": self.last, "age_s": round(time.monotonic() - self.at, 1)}
        values |= {"why": self.why} if self.why else {}
        return values | {
            "since": self._since(),
            "version": self.version,
            "in_force_since": round(self.since, 3),
            "reading": self.reading,
            "took_s": round(self.read_s, 3),
            "switch_ms": round(1000 * self.switch_s, 3),
            "held_ms": round(1000 * self.held, 3),
        }

    def figures(self) -> str:
        """Lines beside the fixed names: which version is in force, since when, and what reading has cost."""
        return format_samples(
            {
                "app_conf_info": [(f'{{version="{self.version}"}}', 1)],
                "app_conf_in_force_since_seconds": [("", round(self.since, 3))],
                "app_conf_took_seconds": [("", round(self.read_s, 6))],
                "app_conf_held_seconds": [("", round(self.held, 6))],
                "app_conf_held_longest_seconds": [("", round(self.longest, 6))],
            }
        )

    # ---- reading
    def _begin(self) -> None:
        if not self.reading and self.owner.forwarder is None:
            self.reading = True
            self.loop.spawn(self._work)

    def _work(self) -> None:
        """A task: reads until no order is left."""
        try:
            while self.ordered and self.owner.forwarder is None:
                self.ordered = False
                self._obey()
        finally:
            self.reading = False
            if self.ordered:  # a fault ended this task
                self._begin()

    def _obey(self) -> None:
        metrics = self.owner.metrics
        try:
            change = self._change()
        except InvalidInputError as error:
            metrics.count_reload(ReloadCounter.INVALID)
            self._turned_down(str(error))
            self.log.error(
                "configuration can't be used, the old one stays", why=str(error), version=self.version
            )
            return
        except Exception:  # a fault of ours: the old one stays, and who looks is told so
            metrics.count_reload(ReloadCounter.INVALID)
            self._turned_down("internal fault, see the log")
            raise
        if change is not None:
            metrics.count_reload(ReloadCounter.LOADED)
            self._tell_taken(change)

    def _tell_taken(self, change: Change) -> None:
        self.log.info(
            "configuration read again",
            needs_a_restart=change.fixed,
            version=self.version,
            took_ms=round(1000 * self.read_s, 1),
            held_ms=round(1000 * self.held, 2),
        )

    def _change(self, only_new: bool = False) -> Change | None:
        """Reads the file and brings it into force. Raises InvalidInputError. None where another process
        decides now,
        or, with `only_new`, where nothing differs."""
        began, self.held = time.monotonic(), 0.0
        change = self._paced(self._steps(only_new))
        if change is None:
            return None
        before = [self.config, self.owner.tenants]
        self._commit(change)
        # The core may stand still, its state on the way to another process, which may still say no.
        while not change.in_force:
            if self.owner.forwarder is not None:
                return None
            self.switched.wait(STAND)
        self.read_s = time.monotonic() - began
        # What they alone held is let go of in turns of its own: thousands of tenants take a while.
        for n in range(len(before)):
            self.loop.call_later((n + 1) * LET_GO, before.pop)
        return change

    def _paced(self, steps: Generator[None, None, Change | None]) -> Change | None:
        """Takes the steps, some in each turn of the loop."""
        while True:
            began = time.monotonic()
            try:
                while True:
                    next(steps)
                    if time.monotonic() - began >= SLICE:
                        break
            except StopIteration as end:
                return end.value
            finally:
                took = time.monotonic() - began
                self._held(took)
            self.loop.sleep(PAUSE * took)

    def _held(self, took: float) -> None:
        self.held = max(self.held, took)
        self.longest = max(self.longest, took)

    def _steps(self, only_new: bool) -> Generator[None, None, Change | None]:
        old = self.config
        loaded = yield from configuration.load_in_steps(self.path, before=old)
        new, fixed = configuration.taken_over(old, loaded)
        if only_new and new == old:
            return None
        yield
        tenants = yield from updated_table(self.owner.tenants, new.settings.tenants)
        yield
        other = replace(new.settings, tenants=()) != replace(old.settings, tenants=())
        told = tenants is not self.owner.tenants or _budgets(new) != _budgets(old)
        message = None
        if other or tenants.needs_compaction:
            if tenants.needs_compaction:
                tenants = yield from self._compacted(tenants)
            message = SettingsChanged(new.settings, tenants)
        elif told:
            message = TenantsChanged(new.settings, tenants)
        commits = []
        for prepare in self.parts:
            commits.append((yield from prepare(new, tenants)))
        return Change(new, loaded.version, fixed, message, commits)

    def _compacted(self, tenants: TenantTable) -> Generator[None, None, TenantTable]:
        """Without those that are gone, but for whom a request is open or a filing known."""
        used = {r.tenant for r in self.owner.open_requests.values()}
        for known in (self.owner.idempotency.runs, self.owner.idempotency.records):
            for n, token in enumerate(list(known)):
                used.add(token[0])
                if n % NAMES_PER_STEP == 0:
                    yield
        # Those that this change takes away may have one more request read before it.
        used |= tenants.retired.keys() - self.owner.tenants.retired.keys()
        return (yield from compacted_table(tenants, used))

    # ---- into force
    def _commit(self, change: Change) -> None:
        """By the core's own queue, in one turn between two events."""
        began = 0.0

        def parts() -> None:
            nonlocal began
            began = time.monotonic()
            for commit in change.commits:
                try:
                    commit()
                except Exception:  # a fault of one part of ours must not leave the others behind
                    self.log.exception("fault in taking a new configuration")

        def done() -> None:
            change.in_force = True
            self.config, self.version = change.config, change.version
            self.last, self.why, self.at, self.before = "taken", "", time.monotonic(), self._counts()
            self.since = time.time()
            self.switch_s = self.at - began
            self._held(self.switch_s)
            self.loop.call_later(AFTER, lambda at=self.at: self._tell(at))
            self.switched.set()

        self.owner.post(ConfigurationSwitched(parts, change.message, done))

    # ---- the kernel's link
    def _look(self) -> None:
        verdict = self.watch.evaluate(time.monotonic(), self.kernel.stream is not None, self.kernel.address)
        if verdict.healthy is not self.good:
            self.good = verdict.healthy
            self.owner.post(KernelLinkChanged(verdict.healthy))
            if verdict.healthy:
                self.log.info("the kernel is within reach again", kernel=self.kernel.view())
            else:
                self.log.error("cut off from the kernel: health turns bad", kernel=self.kernel.view())
        if verdict.reload_due and not self.reading:  # what is being read now may be the way out
            self.reading = True
            self.loop.spawn(self._heal)

    def _heal(self) -> None:
        """A task. Not counted as taken or turned down: nobody ordered it."""
        try:
            self._look_for_another()
        finally:
            self.reading = False
            if self.ordered:
                self._begin()

    def _look_for_another(self) -> None:
        try:
            change = self._change(only_new=True)
        except InvalidInputError as error:
            self._turned_down(str(error))
            self.log.error("cut off, and the configuration can't be used: mend the file", why=str(error))
            return
        if change is None and self.owner.forwarder is None:
            self.log.warning(
                "cut off, and the configuration is as before: is the kernel up?", kernel=self.kernel.view()
            )
        elif change is not None:
            self.log.warning(
                "cut off: a new configuration was found and taken",
                needs_a_restart=change.fixed,
                version=self.version,
            )

    def _turned_down(self, why: str) -> None:
        self.last, self.why, self.at = "turned down", why, time.monotonic()

    def _tell(self, at: float) -> None:
        """Only of the newest: several within a moment are told of once."""
        if at == self.at:
            kernel = {"kernel": self.kernel.view()} if self.kernel else {}
            self.log.info(
                "since the configuration was read again", state=self.owner.state, **self._since(), **kernel
            )

    def _counts(self) -> dict[str, int]:
        return {word: self.owner.metrics.total(name) for word, name in COUNTED.items()}

    def _since(self) -> dict[str, int]:
        return {word: n - self.before[word] for word, n in self._counts().items()}


def _budgets(config: Config) -> object:
    """What the quotas of tenants here are made of beside the settings."""
    return config.peers and config.peers.budgets
