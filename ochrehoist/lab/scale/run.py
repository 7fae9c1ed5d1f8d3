"""One scale run, from its checks to its record. It keeps its own limits, and leaves no process (asyncio)."""

import asyncio
import os
import subprocess
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict
from importlib import metadata
from pathlib import Path

from msgspec import UNSET, to_builtins

from ochrehoist.lab.errors import InvalidRunError
from ochrehoist.lab.scale.cluster import ScaleCluster
from ochrehoist.lab.scale.experiments import inject_fault, reader_notes, reload_repeatedly
from ochrehoist.lab.scale.measurements import is_trustworthy, rest_figures
from ochrehoist.lab.scale.results import COMPLETE, KB_PER_MB, RunFigures, RunRecord, machine_state
from ochrehoist.lab.scale.spec import ScaleSpec
from ochrehoist.lab.scale.topology import Topology
from ochrehoist.lab.worker_process import ROOT

MEMORY_CHECK_S = 0.25
MAX_HOLLOW_PROCESSES = 8
MIN_WORKERS_PER_PROCESS = 5

ReportProgress = Callable[[float, str], None]  # the part that is done, of 1, and what is being done


def tree_version(root: Path = ROOT) -> str:
    """The commit of the tree, or the package's version where there is none."""
    with suppress(OSError, subprocess.CalledProcessError):
        described = subprocess.run(
            ["git", "describe", "--always", "--dirty", "--match="],
            cwd=root,
            capture_output=True,
            text=True,
            check=True,
        )
        return described.stdout.strip()
    return metadata.version("ochrehoist")


class ScaleRun:
    """One run. `root`: the tree whose workers are run."""

    def __init__(self, spec: ScaleSpec, root: Path = ROOT) -> None:
        self._spec = spec
        self._root = root
        self._core_count = min(os.cpu_count() or 1, MAX_HOLLOW_PROCESSES)
        self._process_count = max(1, min(self._core_count, spec.hollow_count // MIN_WORKERS_PER_PROCESS))
        memory_limit_mb = machine_state().memory_mb / 2
        self._memory_limit_kb = int(KB_PER_MB * min(spec.most_memory_mb or memory_limit_mb, memory_limit_mb))
        self._peak_kb = 0
        self._notes: list[str] = []
        self._figures = RunFigures()

    def run(self, report: ReportProgress = lambda _done, _what: None) -> RunRecord:
        """Runs it and returns its record, as the result file has it. No process outlives the run.

        Raises InvalidRunError where it may not begin, and RunAbortedError where a process fails.
        """
        self._check_options()
        machine_before = machine_state()
        with tempfile.TemporaryDirectory(prefix="scale-") as folder:
            ended = asyncio.run(self._run_within_limits(Path(folder), report))
        record = {
            "version": tree_version(self._root),
            "date": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime()),
            "spec": asdict(self._spec),
            "machine": to_builtins(machine_before),
            "machine_after": to_builtins(machine_state()),
            "processes": self._process_count + self._spec.real,
            "ended": ended,
            "peak_mb": round(self._peak_kb / KB_PER_MB, 1),
            "most_mb": round(self._memory_limit_kb / KB_PER_MB, 1),
            "notes": self._notes,
        }
        figures: RunRecord = to_builtins(self._figures)
        return record | figures

    def _check_options(self) -> None:
        """Raises InvalidRunError."""
        spec = self._spec
        if spec.real and spec.pace != 1:
            raise InvalidRunError.real_workers_with_slow_clock()
        if spec.hollow_count < 1 or spec.real < 0:
            raise InvalidRunError.too_few_members()
        process_count = self._process_count + spec.real
        if process_count > spec.process_limit:
            raise InvalidRunError.too_many_processes(process_count, spec.process_limit)

    async def _run_within_limits(self, folder: Path, report: ReportProgress) -> str:
        """Runs all phases, or until a limit is reached. Returns COMPLETE, or which limit."""
        topology = Topology(self._spec)
        cluster = ScaleCluster(self._spec, topology, folder, self._root, self._process_count)
        phases = asyncio.create_task(self._run_phases(cluster, report))
        memory_watch = asyncio.create_task(self._watch_memory(cluster))
        try:
            done, _ = await asyncio.wait(
                {phases, memory_watch}, timeout=self._spec.limit_s, return_when=asyncio.FIRST_COMPLETED
            )
            if phases in done:
                phases.result()
                return COMPLETE
            reason = f"time: {self._spec.limit_s:g} s are over"
            if memory_watch in done:
                reason = memory_watch.result()
            self._notes.append(f"broken off: {reason}")
            return reason
        finally:
            await _cancel_for_sure(phases, memory_watch)
            await cluster.end()

    async def _watch_memory(self, cluster: ScaleCluster) -> str:
        """Returns once the processes use more memory than they may."""
        while True:
            used_kb = cluster.resident_kb()
            self._peak_kb = max(self._peak_kb, used_kb)
            if used_kb > self._memory_limit_kb:
                limit_mb = self._memory_limit_kb // KB_PER_MB
                return f"memory: {used_kb // KB_PER_MB} MB, and at most {limit_mb} are allowed"
            await asyncio.sleep(MEMORY_CHECK_S)

    async def _run_phases(self, cluster: ScaleCluster, report: ReportProgress) -> None:
        spec = self._spec
        figures = self._figures
        report(
            0.0,
            f"starting {spec.hollow_count} hollow workers in {self._process_count} processes, "
            f"{spec.real} real ones",
        )
        await cluster.start(figures, self._core_count)
        if spec.met:
            await self._introduce(cluster)
        report(0.1, "waiting until all know all")
        joined = await cluster.wait_until_complete(spec.join_s)
        figures.join = joined.record()
        await cluster.wait(spec.settle_s)
        await self._measure_rest(cluster, report)
        await self._disturb(cluster, report)
        figures.at_end = await cluster.view()
        assert figures.rest is not UNSET
        rest = figures.rest
        figures.trusted = is_trustworthy(rest.stall_count, rest.hollow_count, rest.duration_s)
        self._notes += reader_notes(spec, figures)
        report(1.0, "over")

    async def _introduce(self, cluster: ScaleCluster) -> None:
        refused_count = await cluster.introduce_all()
        self._figures.refused_as_members = refused_count
        if refused_count:
            self._notes.append(
                f"{refused_count} times a member was refused by another, which had as many as it "
                "takes (MAX_MEMBERS)"
            )

    async def _measure_rest(self, cluster: ScaleCluster, report: ReportProgress) -> None:
        report(0.3, "at rest")
        before = await cluster.sample()
        await cluster.wait(self._spec.seconds)
        after = await cluster.sample()
        base_mb = self._figures.base_mb
        assert base_mb is not UNSET
        self._figures.rest = rest_figures(before, after, cluster.topology.voters, base_mb)

    async def _disturb(self, cluster: ScaleCluster, report: ReportProgress) -> None:
        """The faults one after the other, and the reloads meanwhile."""
        spec = self._spec
        rest = self._figures.rest
        assert rest is not UNSET
        reloads = None
        if spec.changes:
            reloads = asyncio.create_task(reload_repeatedly(cluster, spec, self._figures))
        faults = self._figures.faults = []
        for position, kind in enumerate(spec.faults):
            report(0.5 + 0.4 * position / len(spec.faults), f"fault: {kind}")
            faults.append(await inject_fault(cluster, spec, kind, rest))
        if reloads is not None:
            await reloads


async def _cancel_for_sure(*tasks: asyncio.Task[None] | asyncio.Task[str]) -> None:
    """asyncio.wait_for() of Python 3.11 loses a cancellation that comes in the moment of its result."""
    pending: set[asyncio.Task[None] | asyncio.Task[str]] = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=MEMORY_CHECK_S)
    await asyncio.gather(*tasks, return_exceptions=True)
