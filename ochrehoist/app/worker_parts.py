"""The parts of a worker and their composition.

Packages that only some workers need are imported only if their table is configured, so that the platform's
worker loads neither them nor their libraries.
"""

from __future__ import annotations

import socket
import sys
import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING

from ochrehoist.app.inherited_sockets import InheritedSockets, Listener
from ochrehoist.app.kernel_link_supervisor import KernelLinkSupervisor
from ochrehoist.app.logs import LogSink, start_log
from ochrehoist.app.reload import ConfigReloader
from ochrehoist.app.reload_change import Participant, commit_only, required
from ochrehoist.app.resource_limits import (
    BODY_MEMORY_FRACTION,
    BYTES_PER_MB,
    INPUT_MEMORY_FRACTION,
    RESULT_MEMORY_FRACTION,
    UNSENT_MEMORY_FRACTION,
    ConnectionLimits,
    connection_limits,
    memory_bytes,
)
from ochrehoist.config.schema import Config
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import ExecutorReady
from ochrehoist.net.kernel_link import KernelLink
from ochrehoist.net.loop import Loop, Signal, steady_clock
from ochrehoist.net.membership_heartbeat import MembershipHeartbeat
from ochrehoist.net.thrift_front import ThriftFront

if TYPE_CHECKING:
    from ochrehoist.app.operator_api import MetricsSource, OperatorApi, StatusSource
    from ochrehoist.capture.recorder import LoadRecorder
    from ochrehoist.core.protocols import AdmissionFilter
    from ochrehoist.net.ajp_front import AjpFront
    from ochrehoist.net.ajp_server import AjpServers
    from ochrehoist.net.operator_server import OperatorServer, Response
    from ochrehoist.net.peers import Peers
    from ochrehoist.net.recovery import RecoveryMonitor
    from ochrehoist.net.self_monitoring import SelfMonitor
    from ochrehoist.net.sites import SiteService
    from ochrehoist.overload.overload_control import OverloadControl
    from ochrehoist.store.journal import Journal


class WorkerParts:
    """All parts of one worker; an optional part is None if the configuration has no table for it.

    Attributes:
        tasks: functions that the loop runs as tasks from the start, beside the core.
        listeners: all parts that accept connections: the fronts, the agent check and the operator server.
        inherited_addresses: addresses of the listeners whose sockets the predecessor has handed over.
    """

    def __init__(self, config: Config, path: str | None, is_serving: Callable[[], bool]) -> None:
        """Creates the parts and binds all addresses; no connection is accepted yet.

        Args:
            config: the configuration of the worker.
            path: path of the file from which the configuration is reloaded.
            is_serving: returns whether this process accepts clients; called for /status.

        Raises:
            InvalidInputError: a setting cannot be applied; the message names its key.
            OSError: an address cannot be bound.
        """
        self.config = config
        self.sink = LogSink(sys.stderr.fileno())
        self.log = start_log(self.sink).bind(name=config.name)
        self.loop = Loop(self.log)
        self.fronts: list[ThriftFront | AjpFront] = []
        self.listeners: list[Listener] = []
        self._reload_participants: list[Participant] = []  # the reloader reads the list at each reload
        self._kernel_is_shared: Callable[[], bool] = lambda: False
        self.overload_control = self._build_overload_control()
        self.core = self._build_core()
        self.tasks: list[Callable[[], None]] = []
        self.operator_api = self._build_operator_api(is_serving)
        self.inherited = InheritedSockets(config.handover_path)
        limits = connection_limits(config)
        self.ajp_servers = self._build_ajp(limits)
        self.kernel = self._build_thrift(limits)
        self.membership = self._build_membership()
        self._build_agent_check()
        self.operator_server = self._build_operator_server()
        self.inherited_addresses = self.inherited.close_unused(self.listeners)
        self.reloader = self._build_reloader(path)
        self.journal = self._build_store()
        self.capture = self._build_capture()
        self.self_monitor = self._build_self_monitor()
        self.peers = self._build_peers()
        self.sites = self._build_sites()
        self.recovery = self._build_recovery()

    def register_kernel_sharing(self, is_shared: Callable[[], bool]) -> None:
        """Registers a function that returns whether another process may have runs on the same kernel."""
        self._kernel_is_shared = is_shared

    def close(self) -> None:
        """Closes files, threads and processes of the parts, after the loop has ended."""
        if self.journal:
            self.journal.close()
        if self.recovery:
            self.recovery.close()
        if self.capture:
            self.capture.close()
        if self.self_monitor:
            self.self_monitor.close()

    # ---- the core
    def _build_overload_control(self) -> OverloadControl | None:
        config = self.config
        if not config.overload:
            return None
        from ochrehoist.overload.overload_control import OverloadControl

        memory_limit_bytes = int(config.memory_mb * BYTES_PER_MB)
        return OverloadControl(config.overload, config.settings, config.seed, memory_limit_bytes)

    def _build_core(self) -> CoreActor:
        config = self.config
        control = self.overload_control
        core = CoreActor(
            config.settings,
            config.seed,
            Signal(self.loop),
            steady_clock(),
            time.time_ns,
            self.log,
            memory_bytes(config.memory_mb, RESULT_MEMORY_FRACTION),
            self._measure_gauges,
        )
        if control:
            core.register_limiter(control.limiter)
        return core

    def _measure_gauges(self) -> None:
        executor = self.kernel or self.ajp_servers
        if executor is not None:
            executor.measure()

    # ---- fronts and their executors
    def _build_ajp(self, limits: ConnectionLimits) -> AjpServers | None:
        ajp = self.config.ajp
        if not ajp:
            return None
        from ochrehoist.net.ajp_front import AjpFront
        from ochrehoist.net.ajp_server import AjpServers

        body_bytes = memory_bytes(self.config.memory_mb, BODY_MEMORY_FRACTION)
        servers = AjpServers(self.loop, self.core, ajp, body_bytes, self.log)
        front = AjpFront(
            self.loop,
            self.core,
            servers,
            ajp,
            limits.ajp,
            body_bytes,
            memory_bytes(self.config.memory_mb, INPUT_MEMORY_FRACTION),
            self.log,
            self.inherited.get(ajp.listen),
            self._admission_filter,
        )
        self._add_front(front)
        self._reload_participants += [
            commit_only(lambda new, _: servers.configure(required(new.ajp))),
            lambda new, _: front.prepare(required(new.ajp), new.settings),
        ]
        return servers

    def _build_thrift(self, limits: ConnectionLimits) -> KernelLink | None:
        config = self.config
        if not config.listen:
            self.core.post(ExecutorReady(None, 0))
            return None
        kernel = KernelLink(
            self.loop,
            self.core,
            required(config.kernel_address),
            config.gauges,
            self.log,
            is_shared=lambda: self._kernel_is_shared(),
        )
        self.tasks.append(kernel.run)
        self._add_status("kernel", kernel)
        self._reload_participants.append(
            commit_only(lambda new, _: kernel.change_address(required(new.kernel_address), new.gauges))
        )
        sock = self.inherited.get(config.listen)
        if config.inherited_fd is not None:
            sock = socket.socket(fileno=config.inherited_fd)
        front = ThriftFront(
            self.loop,
            self.core,
            kernel,
            config.listen,
            limits.thrift,
            memory_bytes(config.memory_mb, UNSENT_MEMORY_FRACTION),
            memory_bytes(config.memory_mb, INPUT_MEMORY_FRACTION),
            self.log,
            sock,
            self._admission_filter,
        )
        self._reload_participants.append(commit_only(lambda new, _: front.configure(new.settings)))
        self._add_front(front)
        return kernel

    @property
    def _admission_filter(self) -> AdmissionFilter | None:
        return self.overload_control.early_rejection if self.overload_control else None

    def _add_front(self, front: ThriftFront | AjpFront) -> None:
        self.fronts.append(front)
        self.listeners.append(front)

    # ---- membership, health checks and operators
    def _build_membership(self) -> MembershipHeartbeat | None:
        config = self.config
        membership = None
        if config.membership_address:
            membership = MembershipHeartbeat(
                self.loop, self.core, config.membership_address, config.name, self.log
            )
            self._reload_participants.append(
                commit_only(lambda new, _: membership.change_address(required(new.membership_address)))
            )
            self.core.register_listener(membership)
        for front in self.fronts:
            self.core.register_listener(front)
        return membership

    def _build_agent_check(self) -> None:
        address = self.config.agent_check_address
        if address:
            from ochrehoist.net.agent_check import AgentCheckServer

            sock = self.inherited.get(address)
            self.listeners.append(AgentCheckServer(self.loop, self.core, address, self.log, sock))

    def _build_operator_api(self, is_serving: Callable[[], bool]) -> OperatorApi | None:
        if self.config.admin_address is None:
            return None
        from ochrehoist.app.operator_api import OperatorApi

        return OperatorApi(self.config.name, self.core, self.sink, self.fronts, is_serving)

    def _add_status(self, section: str, source: StatusSource, metrics: MetricsSource | None = None) -> None:
        if not self.operator_api:
            return
        self.operator_api.add_status(section, source)
        if metrics:
            self.operator_api.add_metrics(section, metrics)

    def _build_operator_server(self) -> OperatorServer | None:
        address = self.config.admin_address
        if self.operator_api is None or address is None:
            return None
        from ochrehoist.net.operator_server import OperatorServer

        operator_server = OperatorServer(
            self.loop, address, self._operator_calls(self.operator_api), self.log, self.inherited.get(address)
        )
        self.listeners.append(operator_server)
        return operator_server

    def _operator_calls(self, api: OperatorApi) -> Mapping[str, Mapping[str, Callable[[], Response]]]:
        calls = api.calls()
        if self.config.recovery:
            from ochrehoist.recovery.startup_progress import StartupStage

            calls |= {f"/recovery/skip/{stage}": {"POST": self._skip_call(stage)} for stage in StartupStage}
        if not self.config.sites:
            return calls
        from ochrehoist.net.sites import SiteCommandRoutes

        return SiteCommandRoutes(calls, lambda site, kind: required(self.sites).issue_command(site, kind))

    def _skip_call(self, stage: str) -> Callable[[], Response]:
        from ochrehoist.net.operator_server import json_response

        return lambda: json_response({"said": required(self.recovery).skip(stage)})

    # ---- configuration
    def _build_reloader(self, path: str | None) -> ConfigReloader:
        reloader = ConfigReloader(
            self.loop, self.core, self.config, path, self._reload_participants, self.kernel, self.log
        )
        # The platform prescribes the metrics of its workers, so only appliances have further ones.
        self._add_status("configuration", reloader, metrics=reloader if self.config.ajp else None)
        if self.kernel:
            supervisor = KernelLinkSupervisor(self.loop, self.core, self.kernel, reloader, self.log)
            self.tasks.append(supervisor.run)
        return reloader

    # ---- optional parts
    def _build_store(self) -> Journal | None:
        config = self.config
        if not config.state:
            return None
        from ochrehoist.net.ajp_reply_codec import ReplyCodec
        from ochrehoist.net.blocking_calls import BlockingCallThread
        from ochrehoist.store.journal import Journal

        journal = Journal(
            self.loop,
            partial(BlockingCallThread, self.loop),
            self.core,
            config.state,
            config.name,
            ReplyCodec(),
            self.log,
            self.inherited.replaces_process,
        )
        self.core.register_journal(journal)
        self._add_status("store", journal, metrics=journal)
        return journal

    def _build_capture(self) -> LoadRecorder | None:
        if not self.config.capture:
            return None
        from ochrehoist.capture.recorder import LoadRecorder
        from ochrehoist.net.blocking_calls import BlockingCallThread

        start_thread = partial(BlockingCallThread, self.loop)
        capture = LoadRecorder(self.loop, start_thread, self.core, self.config, self.log)
        self.core.register_observer(capture)
        self._reload_participants.append(commit_only(lambda new, _: capture.configure(new)))
        self._add_status("capture", capture)
        return capture

    def _build_self_monitor(self) -> SelfMonitor | None:
        control = self.overload_control
        if control is None:
            return None
        from ochrehoist.net.self_monitoring import SelfMonitor

        monitor = SelfMonitor(self.loop, self.core, control, self.fronts, self.log)
        self._reload_participants.append(
            commit_only(lambda new, tenants: control.configure(new.settings, new.overload, tenants))
        )
        self._add_status("overload", monitor, metrics=monitor)
        return monitor

    def _build_peers(self) -> Peers | None:
        if not self.config.peers:
            return None
        from ochrehoist.net.peers import Peers

        peers = Peers(self.loop, self.core, self.config, self.log)
        self.core.register_listener(peers)
        self._reload_participants.append(peers.prepare)
        if self.ajp_servers:
            self.ajp_servers.use_advisor(peers)
        self._add_status("peers", peers, metrics=peers)
        return peers

    def _build_sites(self) -> SiteService | None:
        if not self.config.sites:
            return None
        from ochrehoist.net.sites import SiteService

        sites = SiteService(
            self.loop,
            self.core,
            self.config.name,
            self.config.sites,
            required(self.peers),
            not self.inherited.replaces_process,
            self.log,
        )
        self._reload_participants.append(commit_only(sites.configure))
        self._add_status("sites", sites, metrics=sites)
        return sites

    def _build_recovery(self) -> RecoveryMonitor | None:
        if not self.config.recovery:
            return None
        from ochrehoist.net.recovery import RecoveryMonitor

        recovery = RecoveryMonitor(
            self.loop,
            self.core,
            self.config.name,
            self.config.recovery,
            self.config.state,
            self.journal,
            self.peers,
            self.ajp_servers,
            self.log,
        )
        self._add_status("recovery", recovery, metrics=recovery)
        return recovery
