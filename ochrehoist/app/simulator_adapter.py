"""The adapter: reads batches of events from standard input, hands each to its controller, writes the actions.

Translation only; what is decided, is decided in ochrehoist.admission.controller.
"""

import math
import sys
import traceback

from ochrehoist.admission.actions import (
    AttachDuplicate,
    CancelRun,
    FailRequest,
    LogMessage,
    RejectRequest,
    ReleaseKey,
    RetainKey,
    SendBackpressure,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipDownstreamCall,
    StartDownstreamCall,
    StartRun,
)
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    DownstreamCallEnded,
    DownstreamCallNeeded,
    DrainStarted,
    InstanceStarted,
    Outcome,
    RequestAbandoned,
    RequestCompleted,
    RequestReceived,
    TimerFired,
)
from ochrehoist.config.settings import read_settings
from ochrehoist.errors import InvalidInputError

OUTCOMES = {
    "Ok": Outcome.OK,
    "Failed": Outcome.FAILED,
    "QueueFull": Outcome.QUEUE_FULL,
    "TimedOut": Outcome.TIMED_OUT,
    "ConnectError": Outcome.UNREACHABLE,
    "ResetByPeer": Outcome.CONNECTION_RESET,
    "Canceled": Outcome.CANCELLED,
    "Ignored": Outcome.NOT_STARTED,
}

# ---- events


class _Fields:
    """The values of one line, taken in order; a wrong one is named with its message."""

    def __init__(self, name, rest):
        self.name, self.parts, self.at = name, rest.split(" ") if rest else [], 0

    def bad(self, field, why):
        return InvalidInputError(f"message {self.name} field {field}: {why}")

    def text(self, field, absent=False):
        if self.at >= len(self.parts):
            raise self.bad(field, "missing")
        value = self.parts[self.at]
        self.at += 1
        if value == "-" and absent:
            return None
        if value in ("", "-"):
            raise self.bad(field, "missing")
        return value

    def whole(self, field, absent=False):
        value = self.text(field, absent)
        if value is None:
            return None
        if not (value.isascii() and value.isdigit()):
            raise self.bad(field, f"not a whole number: {value!r}")
        return int(value)

    def number(self, field, absent=False):
        value = self.text(field, absent)
        if value is None:
            return None
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number) or number < 0:
            raise self.bad(field, f"not a number from 0 up: {value!r}")
        return number

    def outcome(self, field):
        value = self.text(field)
        if value not in OUTCOMES:
            raise self.bad(field, f"unknown outcome {value!r}")
        return OUTCOMES[value]

    def end(self, event):
        if self.at != len(self.parts):
            raise self.bad("(end of line)", "more parts than fields")
        return event


def _request(f, kinds, tenants):
    job, kind = f.text("Job"), f.text("Type")
    if kind not in kinds:
        raise f.bad("Type", f"unknown class {kind!r}")
    tenant = f.text("Realm", absent=True)
    if tenant not in (None, "0") and tenant not in tenants:
        raise f.bad("Realm", f"unknown tenant {tenant!r}")
    key, remaining, work = f.text("RouteKey", True), f.whole("Remaining", True), f.whole("Work", True)
    size, rank, bits = f.number("SizeKb"), f.number("Place", True) or 0.0, f.whole("Bitmap", True) or 0
    caller, unread = f.whole("SrcPeer", True) or 0, f.whole("UnreadFor", True) or 0
    original = f.text("Original", absent=True)
    return f.end(
        RequestReceived(
            id=job,
            class_index=kinds[kind],
            tenant_index=tenants.get(tenant),
            routing_key=key,
            remaining_ns=remaining or None,
            work_ns=work if bits & 1 and work else None,
            memory_kb=size,
            rank=rank,
            is_retry=bool(bits & 2),
            is_write=bool(bits & 4),
            caller=caller,
            unread_ns=unread,
            duplicate_of=None if original == "0" else original,
        )
    )


def _ended(f, event):
    return f.end(event(f.text("Job"), f.outcome("Verdict"), f.whole("Took", True) or 0))


def _alarm(f):
    token, pairs, gauges = f.whole("Ref"), f.text("Gauge", absent=True), {}
    for pair in pairs.split(",") if pairs else ():
        name, colon, value = pair.partition(":")
        try:
            gauges[name] = float(value)
        except ValueError:
            colon = ""
        if not colon or not name:
            raise f.bad("Gauge", f"not name:value: {pair!r}")
    return f.end(TimerFired(token, gauges))


EVENTS = {
    "COMPLETED": lambda f: _ended(f, RequestCompleted),
    "READY_TO_CALL": lambda f: f.end(DownstreamCallNeeded(f.text("Job"))),
    "DOWNSTREAM": lambda f: _ended(f, DownstreamCallEnded),
    "EXPIRED": lambda f: f.end(RequestAbandoned(f.text("Job"))),
    "RETIRE_SOON": lambda f: f.end(DrainStarted(f.whole("Remaining"))),
    "BELL": _alarm,
}


# ---- actions


def _number(value):
    return f"{value:.9f}".rstrip("0").rstrip(".")


ACTIONS = {
    StartRun: lambda a: f"PROCESS {a.id}",
    RejectRequest: lambda a: f"PUSH_BACK {a.id} {a.retry_after_ns} {int(a.no_retry)}",
    FailRequest: lambda a: f"LOSE {a.id}",
    CancelRun: lambda a: f"ABORT_WORK {a.id}",
    StartDownstreamCall: lambda a: f"ASK_BELOW {a.id} {a.stop_at_ns}",
    SkipDownstreamCall: lambda a: f"OMIT {a.id}",
    RetainKey: lambda a: f"RETAIN {a.id} {a.ttl_ns}",
    ReleaseKey: lambda a: f"EVICT {a.id}",
    AttachDuplicate: lambda a: f"ATTACH {a.id}",
    SetHealth: lambda a: f"MARK_HEALTH {int(a.cached)} {int(a.healthy)}",
    SendBackpressure: lambda a: f"HINT_OUT {_number(a.value)}",
    SetIdleTimeout: lambda a: f"KEEPALIVE {a.idle_timeout_ns}",
    SetTimer: lambda a: f"WAKE_AT {a.delay_ns} {a.timer_id}",
    LogMessage: lambda a: "PRINT " + " ".join(a.text.split()),
}


# ---- the wire


class _Instance:
    def __init__(self, settings, seed):
        self.controller = AdmissionController(settings, seed)
        self.kinds = {c.name: at for at, c in enumerate(settings.classes)}
        self.tenants = {t.name: at for at, t in enumerate(settings.tenants)}


class Host:
    """All instances of one process, and the batch in hand."""

    def __init__(self, out, err):
        self.out, self.err, self.instances = out, err, {}
        self.batch, self.now, self.current, self.replies = None, 0, None, []

    def line(self, line):
        name, _, rest = line.partition(" ")
        if name == "BATCH":
            f = _Fields(name, rest)
            if self.batch is not None:
                raise f.bad("(start)", "inside another batch")
            self.now, self.batch = f.whole("clock"), f.end(f.whole("number"))
            self.current, self.replies = None, []
        elif self.batch is None:
            raise InvalidInputError(f"message {name}: outside a batch")
        elif name == "EOF_BATCH":
            _Fields(name, rest).end(None)
            self._reply()
        elif name == "TARGET_INSTANCE":
            f = _Fields(name, rest)
            self.current = f.end(f.whole("Instance"))
        elif name == "CREATE":
            seed, _, settings = rest.partition(" ")
            f = _Fields(name, seed)
            self._create(f.end(f.whole("InitSeed")), settings)
        elif name == "DETACH":
            _Fields(name, rest).end(None)
            self.instances.pop(self._target(name), None)
            self.replies = [r for r in self.replies if r[0] != self.current]
        elif name == "INCOMING" or name in EVENTS:
            self._event(name, _Fields(name, rest))
        else:
            print(f"unknown message {name!r} skipped", file=self.err)

    def _target(self, name):
        if self.current is None:
            raise InvalidInputError(f"message {name} field (instance): no TARGET_INSTANCE before it")
        return self.current

    def _create(self, seed, text):
        at, settings = self._target("CREATE"), read_settings(text)
        self._decide(at, lambda: self.instances.update({at: _Instance(settings, seed)}) or [])
        if at in self.instances:
            self._decide(at, lambda: self.instances[at].controller.handle(self.now, InstanceStarted()))

    def _event(self, name, f):
        instance = self.instances.get(self._target(name))
        if instance is None:
            raise InvalidInputError(f"message {name} field (instance): {self.current} was never created")
        event = _request(f, instance.kinds, instance.tenants) if name == "INCOMING" else EVENTS[name](f)
        self._decide(self.current, lambda: instance.controller.handle(self.now, event))

    def _decide(self, at, decide):
        try:
            self.replies += [(at, ACTIONS[type(a)](a)) for a in decide()]
        except Exception as error:
            traceback.print_exc(file=self.err)
            self.replies.append((at, f"EXCEPTION {type(error).__name__}: " + " ".join(str(error).split())))

    def _reply(self):
        lines, last = [], None
        for at, text in self.replies:
            if at != last:
                lines.append(f"INSTANCE {at}")
                last = at
            lines.append(text)
        lines.append(f"OK {self.batch}\n")
        self.out.write("\n".join(lines))
        self.out.flush()
        self.batch = None


def main(source=None, out=None, err=None):
    source, out, err = source or sys.stdin, out or sys.stdout, err or sys.stderr
    host = Host(out, err)
    try:
        for line in source:
            line = line.rstrip("\r\n")
            if line:
                host.line(line)
    except InvalidInputError as error:
        print(f"ochrehoist: {error}", file=err)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    for stream in (sys.stdin, sys.stdout):
        stream.reconfigure(encoding="utf-8")
    sys.exit(main())
