"""One hollow worker: a worker's parts, without what is around it."""

import sys
import time
from collections import Counter, deque
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

from ochrehoist.admission.events import Event, TimerFired
from ochrehoist.app.reload import ConfigReloader
from ochrehoist.app.reload_change import Participant, commit_only
from ochrehoist.app.resource_limits import BODY_MEMORY_FRACTION, RESULT_MEMORY_FRACTION
from ochrehoist.config.schema import Config
from ochrehoist.config.tables import AjpConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import ExecutorReady
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.lab.hollow.network import PartitionedNetwork, PartitionedSocket
from ochrehoist.lab.hollow.protocol import Address, MemberIntroduction, WorkerSample
from ochrehoist.net.ajp_reader import AjpReader
from ochrehoist.net.ajp_server import AjpServers, CallOutcome
from ochrehoist.net.loop import Loop, Signal, steady_clock
from ochrehoist.net.peer_transport import open_datagram_socket
from ochrehoist.net.peers import PEER_TICK_INTERVAL_S, Peers
from ochrehoist.peers.wire import CounterSnapshot, Incarnation, MemberState, MemberUpdate

BYTES_PER_MB = 1e6
MEASURED_TICKS = 256  # of the admission controller, whose cost is kept
SIMULATED_RUN_S = 0.05  # of a request that is only notified
# Members that are introduced: how many versions of their status came before, and the rate of updates heard.
INTRODUCED_VERSIONS = 10_000
UPDATES_PER_S = 120.0


class FaultCountingLog:
    """Counts errors and writes nothing: nobody reads the logs of hundreds of workers."""

    def __init__(self) -> None:
        self.faults: Counter[str] = Counter()

    def bind(self, **_fields: Any) -> "FaultCountingLog":
        """The same log, whatever the fields."""
        return self

    def debug(self, event: str, **_fields: Any) -> None:
        """Does nothing."""

    def info(self, event: str, **_fields: Any) -> None:
        """Does nothing."""

    def warning(self, event: str, **_fields: Any) -> None:
        """Does nothing."""

    def error(self, event: str, **_fields: Any) -> None:
        """Counts the event."""
        self.faults[event] += 1

    def exception(self, event: str, **_fields: Any) -> None:
        """Counts the event together with the exception that is being handled."""
        self.faults[f"{event}: {sys.exc_info()[1]!r}"] += 1


class HollowPeers(Peers):
    """A worker's peers, whose datagrams go over a network that can be partitioned."""

    def __init__(
        self,
        loop: Loop,
        actor: CoreActor,
        config: Config,
        log: FaultCountingLog,
        network: PartitionedNetwork,
    ) -> None:
        self._socket: PartitionedSocket | None = None

        def open_socket(listen: Address) -> PartitionedSocket:
            self._socket = PartitionedSocket(open_datagram_socket(listen), network, listen)
            return self._socket

        super().__init__(loop, actor, config, log, open_socket)

    @property
    def received_count(self) -> int:
        """Datagrams received since the socket was opened."""
        return self._socket.received_count if self._socket is not None else 0


class KillableSignal(Signal):
    """A signal whose waiting task may be killed."""

    __slots__ = ()

    def clear_waiter(self) -> None:
        """The task that waits, if any, is not woken any more, by a timeout neither."""
        self._waiter = None


class MeteredCoreActor(CoreActor):
    """The core's actor; `tick_cpu_s` has the cost of the controller's last ticks, in s of this thread."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.tick_cpu_s: deque[float] = deque(maxlen=MEASURED_TICKS)

    def dispatch(self, event: Event, at_ns: int | None = None) -> bool:
        """Hands an event to the admission controller, and measures ticks."""
        if type(event) is not TimerFired:
            return super().dispatch(event, at_ns)
        started = time.thread_time()
        accepted = super().dispatch(event, at_ns)
        self.tick_cpu_s.append(time.thread_time() - started)
        return accepted


def _ajp_config(config: Config) -> AjpConfig:
    """The AJP table, which every configuration of a hollow worker has."""
    assert config.ajp is not None
    return config.ajp


class HollowWorker:
    """One worker without clients, servers and listeners. `path`: the file that it reads on a reload."""

    def __init__(
        self,
        loop: Loop,
        network: PartitionedNetwork,
        config: Config,
        path: Path,
        seed: int,
        log: FaultCountingLog,
    ) -> None:
        self._loop = loop
        self._random = Random(f"{seed}/{config.name}")
        self._waker = KillableSignal(loop)
        self.name = config.name
        self.ended = False
        memory_bytes = int(config.memory_mb * BYTES_PER_MB)
        self.actor = MeteredCoreActor(
            config.settings,
            seed,
            self._waker,
            steady_clock(),
            time.time_ns,
            log,
            int(memory_bytes * RESULT_MEMORY_FRACTION),
            self._measure_requests,
        )
        max_body_bytes = int(memory_bytes * BODY_MEMORY_FRACTION)
        ajp = _ajp_config(config)
        self._servers: AjpServers = AjpServers(loop, self.actor, ajp, max_body_bytes, log)
        self._reader = AjpReader(self.actor, self._servers, ajp)
        self.actor.post(ExecutorReady(None, 0))
        self.peers = HollowPeers(loop, self.actor, config, log, network)
        self._seed_peers()
        self.actor.register_listener(self.peers)
        self._servers.use_advisor(self.peers)
        self.reloader = ConfigReloader(loop, self.actor, config, str(path), self._participants(), None, log)

    def _measure_requests(self) -> None:
        self._servers.measure()

    def _seed_peers(self) -> None:
        """Replaces the peers' random seeds, which differ from run to run in a real worker."""
        group = self.peers.group
        group.rng.seed(self._random.random())
        group.members.rng.seed(self._random.random())

    def _participants(self) -> list[Participant]:
        return [
            commit_only(lambda config, _tenants: self._servers.configure(_ajp_config(config))),
            lambda config, _tenants: self._reader.prepare(_ajp_config(config), config.settings),
            self.peers.prepare,
        ]

    def start(self, requests_per_s: float) -> None:
        """Starts its tasks; at `requests_per_s` its parts are notified of requests, 0 for none."""
        self._task = self._loop.spawn(self.actor.run)
        self.peers.start()
        if requests_per_s:
            interval_s = 1 / requests_per_s
            first_s = self._random.random() / requests_per_s
            self._loop.call_later(first_s, lambda: self._simulate_requests(interval_s))

    def kill(self) -> None:
        """Ends it as SIGKILL would: no member is notified."""
        self.ended = True
        self.peers.transport.close()
        self._waker.clear_waiter()
        self._task.throw()  # GreenletExit

    # Requests, of which its parts are only notified.

    def _simulate_requests(self, interval_s: float) -> None:
        """Notifies the peers of one request that starts now, and goes on at the interval."""
        if self.ended:
            return
        settings = self.actor.settings
        request: Any = SimpleNamespace(
            request_class=self._random.choice(settings.classes),
            tenant=self._random.choice(settings.tenants).name if settings.tenants else None,
        )
        self.peers.request_arrived(request)
        server = self.peers.rank_servers({})[0]
        ticket = self.peers.begin_call(server, request.request_class.name)
        self._loop.call_later(SIMULATED_RUN_S, lambda: self._complete_request(request, ticket))
        next_s = interval_s * self._random.uniform(0.5, 1.5)
        self._loop.call_later(next_s, lambda: self._simulate_requests(interval_s))

    def _complete_request(self, request: Any, ticket: int | None) -> None:
        if ticket is not None:
            self.peers.end_call(ticket, CallOutcome.OK)
        self.peers.request_answered(request, RequestCounter.ANSWERED, 0)

    # What others learn of it, and it of others.

    def introduction(self) -> MemberIntroduction:
        """What other members learn of this one by gossip."""
        group = self.peers.group
        incarnation = group.incarnation
        return MemberIntroduction(
            incarnation.name,
            incarnation.number,
            incarnation.boot_id,
            group.settings.address,
            group.settings.site,
            group.own_status.version,
            group.own_status.encoded,
        )

    def introduce(self, members: list[MemberIntroduction]) -> int:
        """Puts the membership in the state of one that has long run with these members.

        Returns how many it refused, because it lists as many as it can.
        """
        now = time.monotonic()
        group = self.peers.group
        group.own_status.version += INTRODUCED_VERSIONS
        update_rate = UPDATES_PER_S / len(members)  # of one member, a second
        others = [member for member in members if member.name != group.members.incarnation.name]
        refused_count = sum(not self._introduce_member(member, update_rate, now) for member in others)
        # No message can bring this about at once, so that it is written to the membership itself.
        group.members.gossip.remaining.clear()
        group.members.established = True
        group.members.last_ack_at = now
        return refused_count

    def _introduce_member(self, member: MemberIntroduction, update_rate: float, now: float) -> bool:
        group = self.peers.group
        incarnation = Incarnation(member.name, member.number, member.boot_id)
        age_s = self._random.expovariate(update_rate)
        age_ms = int(1000 * age_s)
        version = max(0, member.status_version + INTRODUCED_VERSIONS - int(age_s / PEER_TICK_INTERVAL_S))
        accepted = group.members.register_sender(incarnation, member.address, member.site, now)
        update = MemberUpdate(
            incarnation, member.address, member.site, MemberState.ALIVE, version, age_ms, member.status
        )
        group.members.apply_status(update, 0.0, now)
        group.counters.merge_snapshot(CounterSnapshot(incarnation, 0, age_ms, False, {}), 0.0, now)
        return accepted

    # Figures.

    def alive_count(self) -> int:
        """How many other members it believes alive."""
        members = self.peers.group.members.members.values()
        return sum(member.state == MemberState.ALIVE for member in members)

    def held_amount(self) -> int:
        """What it holds of all budgets together."""
        now = time.monotonic()
        return sum(share.holder.amount(now) for share in self.peers.group.shares.values())

    def sample(self) -> WorkerSample:
        """Its counters since its start."""
        transport = self.peers.transport
        group = self.peers.group
        return WorkerSample(
            name=self.name,
            bytes_out=transport.sent_bytes,
            bytes_in=transport.received_bytes,
            sent=transport.sent_count,
            received=self.peers.received_count,
            peers_cpu_s=self.peers.cpu_s,
            stall_count=group.members.stall_count,
            death_count=len(group.members.deaths),
            rejected_count=sum(transport.rejected_counts.values()),
            tick_cpu_s=list(self.actor.tick_cpu_s),
            state_bytes=sum(len(member.status) for member in group.members.members.values()),
            status_bytes=len(group.own_status.encoded),
        )
