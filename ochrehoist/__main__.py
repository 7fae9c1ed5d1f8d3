"""The command line, and how the parts of one worker are put together."""

import argparse
import json
import signal
import sys
import time
from collections.abc import Callable
from http import HTTPStatus

from ochrehoist import config as configuration
from ochrehoist.config import Config
from ochrehoist.core.figures import CONTENT_TYPE
from ochrehoist.core.owner import Owner
from ochrehoist.core.requests import Booted, Leaving, Standby
from ochrehoist.logs import LogSink, start_log
from ochrehoist.net import agent
from ochrehoist.net.ajp_front import AjpFront
from ochrehoist.net.ajp_server import AjpServers
from ochrehoist.net.kernel import Kernel
from ochrehoist.net.listener import Service
from ochrehoist.net.loop import Loop, Signal, steady_clock
from ochrehoist.net.members import Members
from ochrehoist.net.operators import Answer, Operators, ask, said
from ochrehoist.net.thrift_front import ThriftFront
from ochrehoist.settings import BadInput

MS = 1_000_000
RESULT_SHARE = 0.15  # of the process memory, for the results of filings
BODY_SHARE = 0.12  # of it, for AJP bodies coming in, for responses being read, and for those not yet sent
RESERVED = 24  # descriptors for all that is no accepted connection
SERVICE = Service.max_open + 1  # and for the operators' address and the agent checks, each, where they are on
QUIET = 0.05  # s without a request in hand before a drained worker ends
CONSOLE = {  # the commands that call the running worker: how, and what for
    "status": (("GET", "/status"), "ask the running worker how it is, and whether it is ready to serve"),
    "metrics": (("GET", "/status/metrics"), "ask it for its figures"),
    "standby": (("POST", "/standby"), "empty it: checks turn bad, what still comes is answered as ever"),
    "active": (("POST", "/active"), "let it take clients again"),
}
END_EARLY = 0.1  # s before it would be killed; the core answers what is left a little earlier still


class Worker:
    """One worker: the core, its fronts and executors, on one scheduler."""

    def __init__(self, config: Config, path: str | None = None) -> None:
        self.config, self.path, self.sink = config, path, LogSink(sys.stderr.fileno())
        self.log = start_log(self.sink).bind(name=config.name)
        self.loop = loop = Loop(self.log)
        self.owner = owner = Owner(
            config.settings, config.seed, Signal(loop), steady_clock(), time.time_ns, self.log,
            int(config.memory_mb * 1e6 * RESULT_SHARE), lambda: self.gauge_source.measure())
        self.fronts: list[ThriftFront | AjpFront] = []
        self.tasks = [owner.run]
        self.takers: list[Callable[[Config], None]] = []  # parts that take a configuration read again
        room = config.sockets - RESERVED - SERVICE * sum(a is not None for a in (config.admin, config.agent))
        if config.ajp:
            body_bytes = int(config.memory_mb * 1e6 * BODY_SHARE)
            servers = AjpServers(loop, owner, config.ajp, body_bytes, self.log)
            self.gauge_source = servers
            # What runs is bounded by the crowd that the cores survive, whatever the module learns.
            room -= int(config.settings.cores * config.settings.tip_multiple)
            room -= sum(s.max_idle for s in config.ajp.servers)
            most = min(config.ajp.max_connections, room // 2 if config.listen else room)
            if most < 1:
                raise BadInput(f"setting limits.sockets: too few: {config.sockets}")
            room -= most
            front = AjpFront(loop, owner, servers, config.ajp, most, body_bytes, self.log)
            self.fronts.append(front)
            self.takers += [lambda new: servers.configure(new.ajp), lambda new: front.configure(new.ajp)]
        if config.listen:
            self.gauge_source = kernel = Kernel(loop, owner, config.kernel, config.gauges, self.log)
            self.tasks.append(kernel.run)
            self.takers.append(lambda new: kernel.move(new.kernel))
            self.fronts.append(ThriftFront(loop, owner, kernel, config.listen, room, self.log))
        else:
            owner.post(Booted(None, 0))
        if config.members:
            members = Members(loop, owner, config.members, config.name, self.log)
            self.tasks.append(members.run)
            self.takers.append(lambda new: members.move(new.members))
            owner.listeners.append(members)
        owner.listeners += self.fronts
        self.listeners: list = list(self.fronts)
        if config.agent:
            self.listeners.append(agent.AgentCheck(loop, owner, config.agent, self.log))
        if config.admin:
            self.listeners.append(Operators(loop, config.admin, {
                "/status": {"GET": self.status}, "/status/metrics": {"GET": self.metrics},
                "/standby": {"POST": lambda: self.standby(True)},
                "/active": {"POST": lambda: self.standby(False)}}, self.log))
        self.started = time.monotonic()
        self.leaving_since: float | None = None

    def run(self) -> int:
        for number, call in ((signal.SIGTERM, self.leave), (signal.SIGINT, self.leave),
                             (signal.SIGHUP, self.reload)):
            if signal.getsignal(number) is not signal.SIG_IGN:  # as under nohup
                self.loop.on_signal(number, call)
        for task in self.tasks:
            self.loop.spawn(task)
        for part in self.listeners:
            self.log.info("started", part=type(part).__name__, listen=part.listening.address)
        self.loop.run()
        f = self.owner.figures
        self.log.info("ended", served=f.total("answered_total"), refused=f.total("deferred_total"),
                      failed=f.total("errored_total"))
        return 0

    # ---- what operators call
    def status(self) -> Answer:
        o, f = self.owner, self.owner.figures
        values = {"name": self.config.name, "state": o.state,
                  "up_s": round(time.monotonic() - self.started, 1), "in_hand": o.owed,
                  "running": sum(r.started for r in o.live.values()), "served": f.total("answered_total"),
                  "refused": f.total("deferred_total"), "failed": f.total("errored_total"),
                  "keys": len(o.keys.runs), "result_bytes": o.keys.bytes, "log_dropped": self.sink.dropped,
                  "connections": {type(f).__name__: len(f.connections) for f in self.fronts}}
        return said(values, HTTPStatus.OK if o.ready else HTTPStatus.SERVICE_UNAVAILABLE)

    def metrics(self) -> Answer:
        return Answer(HTTPStatus.OK, self.owner.figures.text(self.owner.owed).encode(), CONTENT_TYPE)

    def standby(self, on: bool) -> Answer:
        self.owner.post(Standby(on))
        return said({"standby": on})

    def reload(self) -> None:
        """Reads the configuration again, whole, and hands what can change to its parts.

        Nothing is lost by it: runs, keys, notices and open connections go on. A bad file changes nothing.
        """
        try:
            self.config, fixed = configuration.taken_over(self.config, configuration.load(self.path))
        except BadInput as error:
            self.owner.figures.single["conf_invalid_total"] += 1
            self.log.error("configuration can't be used, the old one stays", why=str(error))
            return
        self.owner.figures.single["conf_loaded_total"] += 1
        for take in self.takers:
            take(self.config)
        self.log.info("configuration read again", needs_a_restart=fixed)

    def leave(self) -> None:
        if self.leaving_since is None:
            self.leaving_since = time.monotonic()
            self.log.info("leaving", stop_ms=self.config.stop_ms, in_hand=self.owner.owed)
            self.owner.post(Leaving(self.config.stop_ms * MS))
            self.loop.spawn(self._drain)

    def _drain(self) -> None:
        """Answers all that was read, and ends as soon as no request can come any more."""
        stop = self.leaving_since + self.config.stop_ms / 1000 - END_EARLY
        # What comes later would not be run: from then on a refused connection tells as much.
        closing = min(self.leaving_since + self.config.settings.drain_grace / 1e9, stop - 0.3)
        self.loop.sleep(max(0.0, closing - time.monotonic()))
        for front in self.fronts:
            front.listening.stop()
        quiet = 0.0
        while time.monotonic() < stop and quiet < QUIET:
            for front in self.fronts:
                front.end_idle()
            busy = self.owner.owed or self.owner.inbox or any(f.connections for f in self.fronts)
            quiet = 0.0 if busy else quiet + 0.01
            self.loop.sleep(0.01)
        self.loop.stop()


def serve(path: str | None) -> int:
    config = configuration.load(path)
    try:
        worker = Worker(config, path)
    except OSError as error:
        raise BadInput(f"setting listen, or an address of the console: {error}") from None
    return worker.run()


def check(path: str) -> int:
    config = configuration.load(path)
    fronts = [name for name, on in (("Thrift", config.listen), ("AJP", config.ajp)) if on]
    print(f"{path}: good; {config.name}, {len(config.settings.classes)} classes, fronts: {', '.join(fronts)}")
    return 0


def console(command: str, path: str | None, every: float | None = None) -> int:
    """Calls the running worker as an operator does: 0 where it says yes, 1 where it says no or nothing."""
    config = configuration.load(path)
    if config.admin is None:
        raise BadInput("setting admin: missing")
    while True:
        try:
            yes, text = ask(config.admin, *CONSOLE[command][0])
        except OSError as error:
            print(f"ochrehoist: no answer from the worker: {error}", file=sys.stderr)
            return 1
        if every is None:
            print(text, end="")
            return 0 if yes else 1
        values = json.loads(text)
        flat = (f"{key}={value}" for key, value in values.items() if not isinstance(value, dict))
        print(time.strftime("%H:%M:%S"), *flat, flush=True)
        try:
            time.sleep(max(0.1, every))
        except KeyboardInterrupt:
            return 0


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="ochrehoist", description="An admission-controlling worker.")
    parser.add_argument("--config", metavar="FILE", help="configuration, .toml (appliance) or .json")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    commands.add_parser("run", help="serve in the foreground (the default)")
    commands.add_parser("check", help="read a configuration and say what is wrong").add_argument("file")
    for name, (_, text) in CONSOLE.items():
        command = commands.add_parser(name, help=text)
        if name == "status":
            command.add_argument("--every", metavar="SECONDS", type=float,
                                 help="and go on asking, a line each time")
    given = parser.parse_args(arguments)
    try:
        if given.command == "check":
            return check(given.file)
        if given.command in CONSOLE:
            return console(given.command, given.config, getattr(given, "every", None))
        return serve(given.config)
    except BadInput as error:
        print(f"ochrehoist: {error}", file=sys.stderr)
        return 2


def command_line() -> None:
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    command_line()
