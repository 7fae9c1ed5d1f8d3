"""Carries out the fault schedule of a run, on its processes, links and services (asyncio)."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

from ochrehoist.lab.deployment import AnyWorker, Deployment
from ochrehoist.lab.fault_schedule import LINK_FAULTS, SERVICE_FAULTS, Fault, FaultKind
from ochrehoist.lab.link_faults import LinkFaultInjector
from ochrehoist.lab.load_generator import LoadGenerator
from ochrehoist.lab.message_injection import MessageInjector
from ochrehoist.lab.outcomes import FaultSpan

AFTERMATH_S = 0.5  # for which a fault still counts after its end: what it held up comes then
TAKE_OVER_TIMEOUT_S = 10.0  # for which operators wait for a new process before they end the old one anyway
TAKE_OVER_CHECK_S = 0.05

# While one of these is done to a worker, its callers may get no answer; a leave counts as a kill.
UNANSWERED_FAULTS = frozenset({FaultKind.PAUSE, FaultKind.KILL, FaultKind.LEAVE, FaultKind.CROWD})
UNANSWERED_LINK_FAULTS = frozenset({FaultKind.CUT, FaultKind.HOLD, FaultKind.DELAY, FaultKind.TRICKLE})

Handler = Callable[[Fault, list[str]], Awaitable[None]]


class FaultEvent(NamedTuple):
    """A fault began or was over."""

    at_s: float
    text: str


class OperatorAnswer(NamedTuple):
    """What a worker answered to an operator."""

    at_s: float
    worker: str
    text: str


class FaultInjector:
    """Carries out the faults of one run, and records them."""

    def __init__(self, deployment: Deployment, load: LoadGenerator) -> None:
        self.spans_noticed_by_callers: list[FaultSpan] = []
        self.spans: list[FaultSpan] = []  # all that was done to workers and services, whoever may notice
        self.events: list[FaultEvent] = []
        self.operator_answers: list[OperatorAnswer] = []
        self._deployment = deployment
        self._load = load
        self._clock = deployment.clock
        links = LinkFaultInjector(deployment)
        messages = MessageInjector(deployment)
        self._handlers: dict[FaultKind, Handler] = {
            FaultKind.PAUSE: self._pause,
            FaultKind.KILL: self._kill,
            FaultKind.LEAVE: self._leave,
            FaultKind.CROWD: self._crowd,
            FaultKind.REPLACE: self._replace,
            FaultKind.DUPLICATE_MEMBER: self._run_duplicates,
            FaultKind.RELOAD: self._reload,
            FaultKind.CLOCK: self._shift_clocks,
            FaultKind.DISK_FULL: self._fill_disks,
            FaultKind.OPERATOR_CALL: self._call,
            FaultKind.LOAD_RATE: self._change_rate,
            FaultKind.GARBLE: messages.send_garbage,
            FaultKind.FLOOD: messages.flood,
            FaultKind.REPLAY: messages.replay,
        }
        for kind in LINK_FAULTS:
            self._handlers[kind] = links.inject
        for kind in SERVICE_FAULTS:
            self._handlers[kind] = self._disturb_services

    def _worker(self, name: str) -> AnyWorker:
        return self._deployment.workers[name]

    async def inject(self, fault: Fault) -> None:
        """Waits for the time of a fault, carries it out and returns at its end. Raises RunAbortedError."""
        await asyncio.sleep(max(0.0, fault.at - self._clock()))
        targets = self._deployment.scenario.expand(fault.who)
        names = ",".join(fault.who)
        started_s = self._clock()
        self.events.append(FaultEvent(started_s, f"{fault.kind} {names} {fault.path}".strip()))
        await self._handlers[fault.fault_kind](fault, targets)
        self.events.append(FaultEvent(self._clock(), f"{fault.kind} {names} over"))
        self._record_spans(fault, targets, started_s)

    def _record_spans(self, fault: Fault, targets: list[str], started_s: float) -> None:
        kind = fault.fault_kind
        now = self._clock()
        if fault.affects_callers:
            self.spans += [FaultSpan(kind, target, started_s, now) for target in targets]
        link_fault_of_callers = fault.links != "peers" and kind in UNANSWERED_LINK_FAULTS
        if kind in UNANSWERED_FAULTS or link_fault_of_callers:
            counted = FaultKind.KILL if kind is FaultKind.LEAVE else kind
            self.spans_noticed_by_callers += [
                FaultSpan(counted, target, started_s, now + AFTERMATH_S) for target in targets
            ]

    # Services.

    async def _disturb_services(self, fault: Fault, targets: list[str]) -> None:
        services = [self._deployment.services[name] for name in targets]
        kind = fault.fault_kind
        for service in services:
            if kind is FaultKind.SLOW_SERVICE:
                service.cores.set_slowdown(fault.amount)
            elif kind is FaultKind.CUTTING_SERVICE:
                service.set_cutting(True)
            elif kind is FaultKind.COLD_SERVICE:
                service.cores.restart_cold()
            else:
                service.stop()
        await asyncio.sleep(fault.lasts)
        for service in services:
            if kind is FaultKind.SLOW_SERVICE:
                service.cores.set_slowdown(1.0)
            elif kind is FaultKind.CUTTING_SERVICE:
                service.set_cutting(False)
            elif kind is FaultKind.DEAD_SERVICE:
                await service.start()

    # Processes.

    async def _pause(self, fault: Fault, targets: list[str]) -> None:
        for name in targets:
            self._worker(name).set_paused(True)
        await asyncio.sleep(fault.lasts)
        for name in targets:
            self._worker(name).set_paused(False)

    async def _kill(self, fault: Fault, targets: list[str]) -> None:
        """Kills the processes, and starts new ones after a while, on machines that are cold."""
        for position, name in enumerate(targets):
            if position and fault.between:
                await asyncio.sleep(fault.between)
            self._worker(name).kill()
        await asyncio.gather(*(self._deployment.refuse_connections(name) for name in targets))
        await asyncio.sleep(fault.lasts)
        for name in targets:
            self._worker(name).store.change(fault.store)
            self._worker(name).set_next_clock_shift(fault.amount)
            self._deployment.restart_services_cold(name)
        await self._start_all(targets)

    async def _leave(self, fault: Fault, targets: list[str]) -> None:
        """Has the processes shut down gracefully, and starts new ones after a while."""
        for name in targets:
            self._worker(name).signal(signal.SIGTERM)
        for name in targets:
            await self._worker(name).wait()
            await self._deployment.refuse_connections(name)
        await asyncio.sleep(fault.lasts)
        await self._start_all(targets)

    async def _start_all(self, names: list[str]) -> None:
        await asyncio.gather(*(self._deployment.start_worker(name) for name in names))

    async def _crowd(self, fault: Fault, targets: list[str]) -> None:
        """Keeps each process to one core, on which other processes are busy."""
        cores = os.sched_getaffinity(0)
        count = max(1, int(fault.amount))
        busy = [process for name in targets for process in self._worker(name).crowd(count)]
        try:
            await asyncio.sleep(fault.lasts)
        finally:
            for process in busy:
                process.kill()
                process.wait()
            os.sched_setaffinity(0, cores)
        for name in targets:
            self._worker(name).set_cores(cores)

    async def _replace(self, _fault: Fault, targets: list[str]) -> None:
        """Another process takes over from each, as on an upgrade."""
        for name in targets:
            old = self._worker(name).process
            assert old is not None
            if self._deployment.scenario.is_platform:
                await self._deployment.add_kernel_address(name)
            try:
                await self._deployment.start_worker(name)
                await self._wait_until_up(name)
            finally:
                old.terminate()
            await asyncio.to_thread(old.wait)

    async def _wait_until_up(self, name: str) -> None:
        """Until it says that it serves: the one before it is ended then, and no sooner."""
        latest_s = self._clock() + TAKE_OVER_TIMEOUT_S
        while self._clock() < latest_s:
            with suppress(OSError):
                if (await self._worker(name).status())["state"] == "up":
                    return
            await asyncio.sleep(TAKE_OVER_CHECK_S)

    async def _run_duplicates(self, fault: Fault, targets: list[str]) -> None:
        """A second process of the same name, with a copy of the file."""
        for name in targets:
            await self._deployment.start_duplicate(name)
        await asyncio.sleep(fault.lasts)
        for duplicate in self._deployment.duplicates:
            duplicate.kill()

    async def _reload(self, fault: Fault, targets: list[str]) -> None:
        """All budgets get another amount; the workers named reload their files.

        The addresses that a process got stay: only what may change in a running worker is written anew.
        """
        for name in targets:
            worker = self._worker(name)
            if name in self._deployment.appliances:
                self._deployment.appliances[name].configuration.set_budget_amounts(int(fault.amount))
            worker.write_configuration()
            worker.signal(signal.SIGHUP)

    async def _shift_clocks(self, fault: Fault, targets: list[str]) -> None:
        """The wall clocks of running processes are wrong by so much for a while."""
        for name in targets:
            self._worker(name).set_clock_shift(fault.amount)
        await asyncio.sleep(fault.lasts)
        for name in targets:
            self._worker(name).set_clock_shift(0.0)

    async def _fill_disks(self, fault: Fault, targets: list[str]) -> None:
        """Every write that needs room fails, as on a full or read-only disk."""
        for name in targets:
            self._worker(name).set_disk_full(True)
        await asyncio.sleep(fault.lasts)
        for name in targets:
            self._worker(name).set_disk_full(False)

    async def _call(self, fault: Fault, targets: list[str]) -> None:
        """Operators post to each."""
        for name in targets:
            with suppress(OSError):
                text = await self._worker(name).post(fault.path)
                self.operator_answers.append(OperatorAnswer(self._clock(), name, text))

    async def _change_rate(self, fault: Fault, _targets: list[str]) -> None:
        self._load.begin_rate_change(fault.amount)
        await asyncio.sleep(fault.lasts)
        self._load.end_rate_change(fault.amount)
