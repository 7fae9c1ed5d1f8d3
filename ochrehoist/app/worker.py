"""How the parts of one worker are put together, and what operators call on it."""

import os
import signal
import socket
import sys
import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from ochrehoist.app.kernel_link_supervisor import KernelLinkSupervisor
from ochrehoist.app.logs import LogSink, start_log
from ochrehoist.app.reload import ConfigReloader
from ochrehoist.app.reload_change import Participant, commit_only
from ochrehoist.config import loader as configuration
from ochrehoist.config.schema import Config
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import ExecutorReady, StandbyChanged
from ochrehoist.core.metrics import METRICS_CONTENT_TYPE, RequestCounter
from ochrehoist.errors import InvalidInputError
from ochrehoist.net import agent
from ochrehoist.net.ajp import ReplyCodec
from ochrehoist.net.ajp_front import AjpFront
from ochrehoist.net.ajp_server import AjpServers
from ochrehoist.net.ending import Ending
from ochrehoist.net.kernel import Kernel
from ochrehoist.net.link import Predecessor, Successors, predecessors_sockets
from ochrehoist.net.listener import Service
from ochrehoist.net.loop import Loop, Signal, steady_clock
from ochrehoist.net.members import Members
from ochrehoist.net.operators import Answer, Operators, said
from ochrehoist.net.thrift_front import ThriftFront

RESULT_SHARE = 0.15  # of the process memory, for the results of filings
BODY_SHARE = 0.12  # of it, for AJP bodies coming in, for responses being read, and for those not yet sent
UNSENT_SHARE = 0.06  # of it, for answers that routers have not taken yet
RESTORE = 3.0  # s at the most that clients wait for what was on record
LEAST = 8  # connections that a front may have at once, whatever the process before this one still holds
RESERVED = 24  # descriptors for all that is no accepted connection
SERVICE = Service.max_open + 1  # and for the operators' address and the agent checks, each, where they are on


class Worker:
    """One worker: the core, its fronts and executors, on one scheduler."""

    def __init__(self, config: Config, path: str | None = None) -> None:
        self.config, self.sink = config, LogSink(sys.stderr.fileno())
        self.log = start_log(self.sink).bind(name=config.name)
        self.loop = loop = Loop(self.log)
        self.owner = owner = CoreActor(
            config.settings,
            config.seed,
            Signal(loop),
            steady_clock(),
            time.time_ns,
            self.log,
            int(config.memory_mb * 1e6 * RESULT_SHARE),
            lambda: self.gauge_source.measure(),
        )
        self.inherited = predecessors_sockets(config.handover_path) if config.handover_path else None
        self.members: Members | None = None
        self.successors: Successors | None = None
        self.predecessor: Predecessor | None = None
        self.fronts: list[ThriftFront | AjpFront] = []
        self.tasks = [owner.run]
        parts: list[Participant] = []  # of a reload of the configuration
        # Where the system gives fewer than the settings say, it is the system's limit that binds.
        sockets = min([n for n in (config.max_sockets, os.sysconf("SC_OPEN_MAX")) if n > 0])
        room = (
            sockets
            - RESERVED
            - SERVICE * sum(a is not None for a in (config.admin_address, config.agent_check_address))
        )
        self.kernel: Kernel | None = None
        self.journal: Any = None

        def inherited(address: tuple[str, int]) -> socket.socket | None:
            return (self.inherited or {}).get(address)

        if config.ajp:
            body_bytes = int(config.memory_mb * 1e6 * BODY_SHARE)
            servers = AjpServers(loop, owner, config.ajp, body_bytes, self.log)
            self.gauge_source = servers
            # What runs is bounded by the crowd that the cores survive, whatever the module learns.
            room -= int(config.settings.cores * config.settings.collapse_multiple)
            room -= sum(s.max_idle_connections for s in config.ajp.servers)
            most = min(config.ajp.max_connections, room // 2 if config.listen else room)
            if most < 1:
                raise InvalidInputError(f"setting limits.sockets: too few: {config.max_sockets}")
            room -= most
            front = AjpFront(
                loop, owner, servers, config.ajp, most, body_bytes, self.log, inherited(config.ajp.listen)
            )
            self.fronts.append(front)
            parts += [
                commit_only(lambda new, _: servers.configure(new.ajp)),
                lambda new, _: front.prepare(new.ajp, new.settings),
            ]
        if config.listen:
            kernel = Kernel(loop, owner, config.kernel_address, config.gauges, self.log)
            self.gauge_source = self.kernel = kernel
            self.tasks.append(kernel.run)
            parts.append(commit_only(lambda new, _: kernel.move(new.kernel_address, new.gauges)))
            passed = inherited(config.listen)
            if config.inherited_fd is not None:
                passed = socket.socket(fileno=config.inherited_fd)
            unsent = int(config.memory_mb * 1e6 * UNSENT_SHARE)
            routers = ThriftFront(loop, owner, kernel, config.listen, room, unsent, self.log, passed)
            parts.append(commit_only(lambda new, _: routers.configure(new.settings)))
            self.fronts.append(routers)
        else:
            owner.post(ExecutorReady(None, 0))
        if config.membership_address:
            self.members = members = Members(loop, owner, config.membership_address, config.name, self.log)
            parts.append(commit_only(lambda new, _: members.move(new.membership_address)))
            owner.register_listener(members)
        for listener in self.fronts:
            owner.register_listener(listener)
        self.listeners: list = list(self.fronts)
        if config.agent_check_address:
            self.listeners.append(
                agent.AgentCheck(
                    loop, owner, config.agent_check_address, self.log, inherited(config.agent_check_address)
                )
            )
        if config.admin_address:
            self.listeners.append(
                Operators(
                    loop,
                    config.admin_address,
                    self._with_orders(
                        {
                            "/status": {"GET": self.status},
                            "/status/metrics": {"GET": self.metrics},
                            "/standby": {"POST": lambda: self.standby(True)},
                            "/active": {"POST": lambda: self.standby(False)},
                        }
                    ),
                    self.log,
                    inherited(config.admin_address),
                )
            )
        self.handed = {
            p.listening.address for p in self.listeners if p.listening.sock in (self.inherited or {}).values()
        }
        for address, sock in (self.inherited or {}).items():
            if address not in self.handed:
                sock.close()  # of no use here: what waits in its queue is for the process that listens there
        self.reloading = ConfigReloader(loop, owner, config, path, parts, self.kernel, self.log)
        if self.kernel:
            supervisor = KernelLinkSupervisor(loop, owner, self.kernel, self.reloading, self.log)
            self.tasks.append(supervisor.run)
        if config.state:
            # Its libraries are for those who want it: the platform's worker stays without them.
            from ochrehoist.store.journal import Journal

            self.journal = Journal(
                loop, owner, config.state, config.name, ReplyCodec(), self.log, self.inherited is not None
            )
            owner.register_journal(self.journal)
        self.capture: Any = None
        if config.capture:
            from ochrehoist.capture.taker import Capture

            self.capture = Capture(loop, owner, config, self.log)
            owner.register_observer(self.capture)
            parts.append(commit_only(lambda new, _: self.capture.configure(new)))
        self.measures: Any = None
        if config.overload:
            from ochrehoist.net.selfmeasure import SelfMeasure

            self.measures = SelfMeasure(loop, owner, config.overload, config.memory_mb, self.fronts, self.log)
            parts.append(
                commit_only(lambda new, tenants: self.measures.configure(new.settings, new.overload, tenants))
            )
        self.peers: Any = None
        if config.peers:
            from ochrehoist.net.peers import Peers

            self.peers = Peers(loop, owner, config, self.log)
            owner.register_listener(self.peers)
            parts.append(self.peers.prepare)
            if config.ajp:
                servers.advisor = self.peers
        self.sites: Any = None
        if config.sites:
            from ochrehoist.net.sites import SiteService

            self.sites = SiteService(
                loop, owner, config.name, config.sites, self.peers, self.inherited is None, self.log
            )
            parts.append(commit_only(self.sites.configure))
        self.recovery: Any = None
        if config.recovery:
            from ochrehoist.net.recovery import RecoveryMonitor

            self.recovery = RecoveryMonitor(
                loop,
                owner,
                config.name,
                config.recovery,
                config.state,
                self.journal,
                self.peers,
                servers if config.ajp else None,
                self.log,
            )
        self.ending = Ending(loop, owner, self.fronts, config.shutdown_timeout_ms, self.log)
        self.room = {front: front.listening.limit for front in self.fronts}
        if config.handover_path:
            self._take_up(config.handover_path)
        if self.kernel:
            self.kernel.shared = lambda: bool(
                owner.forwarder or (self.predecessor and self.predecessor.present)
            )
        self.started = time.monotonic()
        self.serving = False  # clients are taken

    def run(self) -> int:
        # SIGTERM and SIGHUP are orders to this program, whatever whoever started it does with them: nohup and
        # some supervisors leave SIGHUP ignored, and a worker deaf to it would serve an old configuration.
        self.loop.on_signal(signal.SIGTERM, self.ending.leave)
        self.loop.on_signal(signal.SIGHUP, self.reloading.request_reload)
        if signal.getsignal(signal.SIGINT) is not signal.SIG_IGN:  # ignored by a shell for background jobs
            self.loop.on_signal(signal.SIGINT, self.ending.leave)
        for task in self.tasks:
            self.loop.spawn(task)
        if self.predecessor is None and self.journal is None:
            self._serve()
        elif self.predecessor is None:
            self._restore()
        for part in self.listeners:
            if isinstance(part, Operators) and part.listening.address not in self.handed:
                part.listening.start()  # it says from the start that it is not ready
            self.log.info("started", part=type(part).__name__, listen=part.listening.address)
        self.loop.run()
        if self.peers:
            self.peers.stop("ended")
        if self.successors:
            self.successors.close()
        if self.journal:
            self.journal.close()
        if self.recovery:
            self.recovery.close()
        if self.capture:
            self.capture.close()
        if self.measures:
            self.measures.close()
        f = self.owner.metrics
        self.log.info(
            "ended",
            served=f.total(RequestCounter.ANSWERED),
            refused=f.total(RequestCounter.REJECTED),
            failed=f.total(RequestCounter.FAILED),
        )
        return 0

    # ---- what operators call
    def status(self) -> Answer:
        o, f = self.owner, self.owner.metrics
        values = {
            "name": self.config.name,
            "state": o.state,
            "up_s": round(time.monotonic() - self.started, 1),
            "in_hand": o.unanswered,
            "running": sum(r.started for r in o.open_requests.values()),
            "served": f.total(RequestCounter.ANSWERED),
            "refused": f.total(RequestCounter.REJECTED),
            "failed": f.total(RequestCounter.FAILED),
            "keys": len(o.idempotency.runs),
            "result_bytes": o.idempotency.bytes,
            "log_dropped": self.sink.dropped_lines,
            "connections": {type(f).__name__: len(f.connections) for f in self.fronts},
            "configuration": self.reloading.view(),
        }
        if self.journal:
            values["store"] = self.journal.view()
        if self.capture:
            values["capture"] = self.capture.view()
        if self.measures:
            values["overload"] = self.measures.view()
        if self.peers:
            values["peers"] = self.peers.view()
        if self.sites:
            values["sites"] = self.sites.view()
        if self.recovery:
            values["recovery"] = self.recovery.view()
        if self.kernel:
            values["kernel"] = self.kernel.view()
        ready = o.ready and self.serving
        return said(values, HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)

    def metrics(self) -> Answer:
        text = self.owner.metrics.text(self.owner.own_unanswered)
        conf = self.config.ajp and self.reloading  # the platform's worker keeps to the fixed names
        text += "".join(
            part.figures()
            for part in (conf, self.journal, self.measures, self.peers, self.sites, self.recovery)
            if part
        )
        return Answer(HTTPStatus.OK, text.encode(), METRICS_CONTENT_TYPE)

    def _with_orders(self, calls: dict[str, Any]) -> dict[str, Any]:
        """With what operators may say of sites, where these are on."""
        if self.config.recovery:
            from ochrehoist.recovery.startup_progress import StartupStage

            calls |= {
                f"/recovery/skip/{stage}": {
                    "POST": lambda stage=stage: said({"said": self.recovery.skip(stage)})
                }
                for stage in StartupStage
            }
        if not self.config.sites:
            return calls
        from ochrehoist.net.sites import SiteCommandRoutes

        return SiteCommandRoutes(calls, lambda site, kind: self.sites.issue_command(site, kind))

    def standby(self, on: bool) -> Answer:
        self.owner.post(StandbyChanged(on))
        return said({"standby": on})

    # ---- replacing the process
    def _take_up(self, path: str) -> None:
        """Finds out whether another process serves, and prepares to replace it, and to be replaced."""
        codec = ReplyCodec()
        self.successors = Successors(
            self.loop, self.owner, path, codec, self._sockets, self._replaced, self.log
        )
        if self.inherited is None:
            return
        self.predecessor = Predecessor(
            self.loop,
            self.owner,
            path,
            codec,
            lambda: [p.listening.address for p in self.listeners],
            self._took_over,
            self._make_way,
            self.log,
        )
        self.tasks.append(self.predecessor.run)

    def _took_over(self) -> None:
        self._serve()
        if self.journal:
            self.journal.open()

    def _sockets(self) -> dict[str, socket.socket]:
        return {type(p).__name__: p.listening.sock for p in self.listeners if not p.listening.stopped}

    def _restore(self) -> None:
        """Clients wait in the queue until what ran before is known, but not for long: reads need none of
        it."""
        waiting = [self._serve]

        def serve() -> None:
            while waiting:
                waiting.pop()()

        self.journal.when_restored.append(serve)
        self.loop.call_later(RESTORE, serve)
        self.journal.open()

    def _serve(self) -> None:
        """No other process decides: this one takes what comes."""
        self.serving = True
        for part in self.listeners:
            part.listening.start()
        if self.members:
            self.loop.spawn(self.members.run)
        if self.peers:
            self.peers.start()
        if self.successors:
            self.successors.listen()

    def _replaced(self, at: list) -> None:
        """Another process decides now. Where it listens too, this one no longer does."""
        for part in self.listeners:
            if list(part.listening.address) in at:
                part.listening.stop(leave_queue=True)
        if self.members:
            self.members.stop()
        if self.peers:
            self.peers.stop("replaced")
        if self.journal:
            self.journal.release()
        self.ending.retire(self.successors.holds)

    def _make_way(self, held: Mapping[str, int]) -> None:
        """The connections that the process before this one still holds count against the limit of both."""
        for front in self.fronts:
            used = held.get(type(front).__name__, 0) if self.predecessor and held else 0
            front.listening.set_limit(max(LEAST, self.room[front] - used - (RESERVED // 2 if held else 0)))


def serve(path: str | None) -> int:
    """Serves until it is told to leave. Raises InvalidInputError, which names the key."""
    config = configuration.load(path)
    try:
        worker = Worker(config, path)
    except OSError as error:
        raise InvalidInputError(f"setting listen, or an address of the console: {error}") from None
    return worker.run()
