"""Adapter to the simulator, which reads batches of events from standard input and writes actions.

It only translates: all decisions are made by `ochrehoist.admission.controller`.
"""

import io
import sys
import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TextIO

from ochrehoist.admission.actions import Action
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import Event, InstanceStarted
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.app.simulator_lines import (
    EVENT_PARSERS,
    InstanceIndex,
    LineFields,
    format_action,
    parse_request,
    single_line,
)
from ochrehoist.config.settings import read_settings
from ochrehoist.errors import InvalidInputError

EXIT_OK = 0
EXIT_BROKEN_PIPE = 1
EXIT_INVALID_INPUT = 2


class SimulatedInstance:
    """One simulated server instance."""

    def __init__(self, settings: AdmissionSettings, seed: int) -> None:
        self.controller = AdmissionController(settings, seed)
        self.index = InstanceIndex.from_settings(settings)


@dataclass(slots=True, frozen=True)
class Reply:
    """An output line, and the instance that it belongs to."""

    instance_id: int
    line: str


@dataclass(slots=True)
class Batch:
    """The batch being read; all its events have the time `now_ns`."""

    now_ns: int
    number: int
    target_instance: int | None = None  # the instance that the following messages apply to
    replies: list[Reply] = field(default_factory=list)


class SimulatorHost:
    """The simulated instances of one adapter process, and the current batch."""

    def __init__(self, out: TextIO, err: TextIO) -> None:
        self._out = out
        self._err = err
        self._instances: dict[int, SimulatedInstance] = {}
        self._batch: Batch | None = None
        self._handlers: dict[str, Callable[[Batch, str], None]] = {
            "EOF_BATCH": self._end_batch,
            "TARGET_INSTANCE": self._select_target,
            "CREATE": self._create,
            "DETACH": self._detach,
            "INCOMING": self._receive_request,
        }

    def process_line(self, line: str) -> None:
        """Processes an input line; an unknown message is skipped. Raises InvalidInputError."""
        message, _, rest = line.partition(" ")
        batch = self._batch
        if message == "BATCH":
            self._begin_batch(LineFields(message, rest))
        elif batch is None:
            raise InvalidInputError.in_message(message, "sent outside a batch")
        elif message in self._handlers:
            self._handlers[message](batch, rest)
        elif message in EVENT_PARSERS:
            self._receive_event(batch, message, rest)
        else:
            print(f"unknown message {message!r} skipped", file=self._err)

    def _begin_batch(self, fields: LineFields) -> None:
        if self._batch is not None:
            raise fields.error("(start)", "sent inside another batch")
        now_ns = fields.integer("clock")
        number = fields.integer("number")
        self._batch = fields.finish(Batch(now_ns, number))

    def _end_batch(self, batch: Batch, rest: str) -> None:
        LineFields("EOF_BATCH", rest).finish(None)
        lines: list[str] = []
        last_instance: int | None = None
        for reply in batch.replies:
            if reply.instance_id != last_instance:
                lines.append(f"INSTANCE {reply.instance_id}")
                last_instance = reply.instance_id
            lines.append(reply.line)
        lines.append(f"OK {batch.number}\n")
        self._out.write("\n".join(lines))
        self._out.flush()
        self._batch = None

    def _select_target(self, batch: Batch, rest: str) -> None:
        fields = LineFields("TARGET_INSTANCE", rest)
        batch.target_instance = fields.finish(fields.integer("Instance"))

    def _create(self, batch: Batch, rest: str) -> None:
        seed_text, _, settings_text = rest.partition(" ")
        fields = LineFields("CREATE", seed_text)
        seed = fields.finish(fields.integer("InitSeed"))
        instance_id = _selected_target(batch, "CREATE")
        settings = read_settings(settings_text)

        def create() -> list[Action]:
            self._instances[instance_id] = SimulatedInstance(settings, seed)
            return []

        self._run(batch, instance_id, create)
        if instance_id in self._instances:
            self._handle(batch, instance_id, InstanceStarted())

    def _detach(self, batch: Batch, rest: str) -> None:
        LineFields("DETACH", rest).finish(None)
        instance_id = _selected_target(batch, "DETACH")
        self._instances.pop(instance_id, None)
        batch.replies = [reply for reply in batch.replies if reply.instance_id != instance_id]

    def _receive_request(self, batch: Batch, rest: str) -> None:
        instance_id = self._existing_target(batch, "INCOMING")
        event = parse_request(LineFields("INCOMING", rest), self._instances[instance_id].index)
        self._handle(batch, instance_id, event)

    def _receive_event(self, batch: Batch, message: str, rest: str) -> None:
        instance_id = self._existing_target(batch, message)
        self._handle(batch, instance_id, EVENT_PARSERS[message](LineFields(message, rest)))

    def _existing_target(self, batch: Batch, message: str) -> int:
        instance_id = _selected_target(batch, message)
        if instance_id not in self._instances:
            raise InvalidInputError.in_message(
                message, f"instance {instance_id} does not exist", field="(instance)"
            )
        return instance_id

    def _handle(self, batch: Batch, instance_id: int, event: Event) -> None:
        controller = self._instances[instance_id].controller
        self._run(batch, instance_id, lambda: controller.handle(batch.now_ns, event))

    def _run(self, batch: Batch, instance_id: int, decide: Callable[[], Iterable[Action]]) -> None:
        """Adds the actions to the replies, or a reply EXCEPTION if the controller raises an exception."""
        try:
            batch.replies += [Reply(instance_id, format_action(action)) for action in decide()]
        except Exception as error:
            traceback.print_exc(file=self._err)
            text = single_line(str(error))
            batch.replies.append(Reply(instance_id, f"EXCEPTION {type(error).__name__}: {text}"))


def _selected_target(batch: Batch, message: str) -> int:
    if batch.target_instance is None:
        raise InvalidInputError.in_message(
            message, "no TARGET_INSTANCE precedes it in the batch", field="(instance)"
        )
    return batch.target_instance


def main(source: Iterable[str] | None = None, out: TextIO | None = None, err: TextIO | None = None) -> int:
    """Processes all lines of `source`, by default of standard input, and returns the exit code."""
    err = err or sys.stderr
    host = SimulatorHost(out or sys.stdout, err)
    try:
        for line in source or sys.stdin:
            text = line.rstrip("\r\n")
            if text:
                host.process_line(text)
    except InvalidInputError as error:
        print(f"ochrehoist: {error}", file=err)
        return EXIT_INVALID_INPUT
    except BrokenPipeError:
        return EXIT_BROKEN_PIPE
    return EXIT_OK


if __name__ == "__main__":
    for stream in (sys.stdin, sys.stdout):
        if isinstance(stream, io.TextIOWrapper):
            stream.reconfigure(encoding="utf-8")
    sys.exit(main())
