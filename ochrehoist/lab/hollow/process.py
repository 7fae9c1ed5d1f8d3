"""The process of hollow workers: starts them, and carries out the commands of its parent."""

import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from ochrehoist.config import loader
from ochrehoist.config.schema import Config
from ochrehoist.lab.hollow.clock import ScaledClock, ScaledPoll
from ochrehoist.lab.hollow.empty_process import EmptyProcessMeasurement
from ochrehoist.lab.hollow.network import PartitionedNetwork
from ochrehoist.lab.hollow.protocol import (
    Answer,
    Command,
    Done,
    Incarnations,
    Inspect,
    Inspection,
    IntroduceMembers,
    ListIncarnations,
    MeasureEmptyProcess,
    MembersIntroduced,
    NumberedCommand,
    ProcessDescription,
    ProcessReady,
    ProcessSample,
    ReloadWorkers,
    RestartWorkers,
    Result,
    SetPartition,
    SetTemplate,
    StartWorkers,
    TakeSample,
    WorkerDescription,
    WorkersStarting,
)
from ochrehoist.lab.hollow.reload_measurement import ReloadMeasurement
from ochrehoist.lab.hollow.worker import FaultCountingLog, HollowWorker
from ochrehoist.lab.process_info import die_with_parent, resident_kb
from ochrehoist.lab.toml import toml
from ochrehoist.net.loop import Loop
from ochrehoist.net.peer_settings import parse_address

MAX_READ_BYTES = 1 << 20
STANDARD_INPUT = 0

Reply = Callable[[Result], None]


class ScaledLoop(Loop):
    """The event loop by a scaled clock. `max_lateness_s`: of any timer, since it was last taken."""

    def __init__(self, log: FaultCountingLog, clock_rate: float) -> None:
        super().__init__(log, ScaledPoll(clock_rate))
        self._max_lateness_s = 0.0
        self.observe_iterations(self._observe_iteration)

    def _observe_iteration(self, _duration_s: float, lateness_s: float) -> None:
        self._max_lateness_s = max(self._max_lateness_s, lateness_s)

    def take_max_lateness_s(self) -> float:
        """How late a timer was at most since the last call."""
        lateness_s = self._max_lateness_s
        self._max_lateness_s = 0.0
        return lateness_s


class HollowProcess:
    """Runs the workers of its description and answers commands until its input ends."""

    def __init__(self, description: ProcessDescription) -> None:
        self._description = description
        self._template = description.template
        self._log = FaultCountingLog()
        self._loop = ScaledLoop(self._log, description.clock_rate)
        self._network = PartitionedNetwork()
        self._workers: dict[str, HollowWorker] = {}
        self._config: Config | None = None
        self._harness_cpu_s = 0.0
        self._input = b""
        self._commands = msgspec.json.Decoder(NumberedCommand)
        self._immediate_handlers: dict[type[Any], Callable[[Any], Result]] = {
            StartWorkers: self._start_workers,
            ListIncarnations: self._list_incarnations,
            IntroduceMembers: self._introduce_members,
            Inspect: self._inspect,
            TakeSample: self._take_sample,
            SetPartition: self._set_partition,
            RestartWorkers: self._restart_workers,
            SetTemplate: self._set_template,
        }

    def run(self) -> None:
        """Runs until the input ends."""
        os.set_blocking(STANDARD_INPUT, False)
        _write_line(ProcessReady(os.getpid()))
        self._loop.on_readable(STANDARD_INPUT, self._read_commands)
        self._loop.run()

    def _read_commands(self) -> None:
        try:
            data = os.read(STANDARD_INPUT, MAX_READ_BYTES)
        except BlockingIOError:
            return
        if not data:
            self._loop.stop()
            return
        *lines, self._input = (self._input + data).split(b"\n")
        for line in lines:
            self._handle(self._commands.decode(line))

    def _handle(self, numbered: NumberedCommand) -> None:
        def reply(result: Result) -> None:
            _write_line(Answer(numbered.number, msgspec.Raw(msgspec.json.encode(result))))

        try:
            self._dispatch(numbered.command, reply)
        except Exception as error:
            _write_line(Answer(numbered.number, error=repr(error)))

    def _dispatch(self, command: Command, reply: Reply) -> None:
        if isinstance(command, MeasureEmptyProcess):
            worker_count = len(self._description.workers)
            EmptyProcessMeasurement(self._loop, worker_count, command.duration_s).start(reply)
        elif isinstance(command, ReloadWorkers):
            descriptions = self._description.workers
            measurement = ReloadMeasurement(
                self._loop, command, self._workers, descriptions, self._write_file, reply
            )
            measurement.reload_next()
        else:
            reply(self._immediate_handlers[type(command)](command))

    # Starts and ends.

    def _start_workers(self, command: StartWorkers) -> WorkersStarting:
        base_kb = resident_kb(os.getpid())
        descriptions = self._description.workers
        path = self._write_file(descriptions[0])
        config = loader.load(str(path), {})
        self._config = config
        configuration_kb = resident_kb(os.getpid()) - base_kb
        path.unlink()
        for position, description in enumerate(descriptions):
            self._start_later(command.spread_s * position / len(descriptions), description)
        return WorkersStarting(base_kb, configuration_kb)

    def _start_later(self, delay_s: float, description: WorkerDescription) -> None:
        self._loop.call_later(delay_s, lambda: self._start_worker(description))

    def _start_worker(self, description: WorkerDescription) -> None:
        config = self._worker_config(description)
        path = self._path(description)
        worker = HollowWorker(self._loop, self._network, config, path, self._description.seed, self._log)
        self._workers[description.name] = worker
        worker.start(self._description.requests_per_s)

    def _worker_config(self, description: WorkerDescription) -> Config:
        """The common configuration with the name and the peers of one worker."""
        common = self._config
        assert common is not None
        assert common.peers is not None
        table = description.peers
        listen = parse_address(table["listen"])
        peers = replace(
            common.peers,
            listen=listen,
            advertised_address=listen,
            site=table["site"],
            members={name: parse_address(address) for name, address in table["members"].items()},
        )
        return replace(common, name=description.name, peers=peers)

    def _restart_workers(self, command: RestartWorkers) -> Done:
        own = [
            description
            for description in self._description.workers
            if description.name in command.names and description.name in self._workers
        ]
        for description in own:
            self._workers.pop(description.name).kill()
        for description in own:
            self._start_later(command.downtime_s, description)
        return Done()

    # Members and their network.

    def _list_incarnations(self, _command: ListIncarnations) -> Incarnations:
        return Incarnations([worker.introduction() for worker in self._workers.values()])

    def _introduce_members(self, command: IntroduceMembers) -> MembersIntroduced:
        return MembersIntroduced(sum(worker.introduce(command.members) for worker in self._workers.values()))

    def _set_partition(self, command: SetPartition) -> Done:
        self._network.set_partition(frozenset(command.inside), command.active)
        return Done()

    # Figures.

    def _inspect(self, _command: Inspect) -> Inspection:
        started_cpu_s = time.thread_time()
        inspection = Inspection(
            alive_counts=[worker.alive_count() for worker in self._workers.values()],
            resident_kb=resident_kb(os.getpid()),
            lateness_s=self._loop.take_max_lateness_s(),
            held_amount=sum(worker.held_amount() for worker in self._workers.values()),
            faults=dict(self._log.faults),
        )
        self._harness_cpu_s += time.thread_time() - started_cpu_s
        return inspection

    def _take_sample(self, _command: TakeSample) -> ProcessSample:
        started_cpu_s = time.thread_time()
        workers = [worker.sample() for worker in self._workers.values()]
        self._harness_cpu_s += time.thread_time() - started_cpu_s
        return ProcessSample(
            at_s=time.monotonic(),
            cpu_s=time.process_time(),
            harness_cpu_s=self._harness_cpu_s,
            workers=workers,
            resident_kb=resident_kb(os.getpid()),
        )

    # Configuration.

    def _set_template(self, command: SetTemplate) -> Done:
        self._template = command.text
        return Done()

    def _path(self, description: WorkerDescription) -> Path:
        return Path(self._description.folder, f"{description.name}.toml")

    def _write_file(self, description: WorkerDescription) -> Path:
        """Writes the file of one worker: the template with its name and its peers' table."""
        path = self._path(description)
        path.write_text(
            f"name = {toml(description.name)}\npeers = {toml(description.peers)}\n{self._template}"
        )
        return path


def _write_line(message: msgspec.Struct) -> None:
    sys.stdout.write(msgspec.json.encode(message).decode() + "\n")
    sys.stdout.flush()


def run_from_standard_input() -> None:
    """Runs the workers that the first line of the input describes; see `protocol`.

    The process ends with its input, its parent or its time limit, whichever ends first.
    """
    parent = os.getppid()
    die_with_parent()
    if os.getppid() != parent:
        return
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is the parent's, which ends this one
    description = msgspec.json.decode(sys.stdin.readline(), type=ProcessDescription)
    signal.alarm(max(1, int(description.time_limit_s)))  # whatever the loop does, it ends then
    ScaledClock(description.clock_rate).install()
    HollowProcess(description).run()
