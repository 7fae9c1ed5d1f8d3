"""The datagrams between workers, and what the rest of the worker asks of the fleet. Only where [peers] is
on."""

import errno
import os
import secrets
import socket
import time
from collections import Counter
from collections.abc import Callable, Generator, Mapping
from typing import Any

from ochrehoist.admission.settings import Tenant
from ochrehoist.config.schema import BudgetKind, Config
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.metrics import format_samples
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.tenants import TenantTable
from ochrehoist.net.loop import Loop
from ochrehoist.peers import wire
from ochrehoist.peers.group import Group, Send, Terms
from ochrehoist.peers.rights import Budget
from ochrehoist.peers.view import told
from ochrehoist.peers.wire import Life, Message

BEAT_S = 0.05
AT_ONCE = 64  # datagrams read in one turn of the loop: a flood must leave time for requests
BIND_S = 0.1  # between two tries to bind: a process that is replaced may still hold the address


def terms_of(config: Config) -> Terms:
    """What the fleet's side is told of the configuration."""
    p = config.peers
    budgets = tuple(
        Budget(
            name=b.name,
            amount=b.amount,
            voters=p.lease_grantors,
            runs=b.kind is BudgetKind.SERVER,
            lease_s=b.lease_s,
            floor=b.floor_fraction,
            floor_lease_s=b.floor_lease_s,
            longest_s=b.max_run_s,
            parts=b.slot_count,
        )
        for b in p.budgets
    )
    site = p.site
    if config.sites:
        from ochrehoist.sites.step_lease import step_lease_budget

        site = config.sites.site
        budgets += (step_lease_budget(p.lease_grantors),) if p.lease_grantors else ()
    servers = tuple(s.name for s in config.ajp.servers) if config.ajp else ()
    return Terms(
        p.group,
        _text(p.advertised_address),
        site,
        {n: _text(a) for n, a in p.members.items()},
        tuple(_text(a) for a in p.seed_addresses),
        p.protocol_period_ms / 1000,
        budgets,
        servers,
        p.max_ejected_fraction,
        p.max_requests_per_s,
    )


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class FleetTenant:
    """A tenant whose quota here is this worker's part of what it has over the whole fleet, as it is now."""

    def __init__(self, tenant: Tenant, peers: "Peers", budget: str, fleet_size: int) -> None:
        self.name, self.share = tenant.name, tenant.share
        self._peers, self._budget, self._size = peers, budget, fleet_size

    @property
    def quota_per_s(self) -> float:
        # The module takes the quota for that of `fleet_size` workers alike.
        return float(self._peers.part(self._budget) * self._size)


class Peers:
    """This worker in its fleet. It observes the core's requests and advises the AJP servers' executor."""

    def __init__(self, loop: Loop, owner: CoreActor, config: Config, log: Any) -> None:
        self.loop, self.owner, self.log, self.config = loop, owner, log, config.peers
        life = Life(config.name, time.time_ns() // 1_000_000, secrets.randbits(62))
        self.group = Group(terms_of(config), life, time.monotonic(), secrets.randbits(62))
        self.sock: socket.socket | None = None
        self.seq = self.tickets = 0
        self.rejected: Counter = Counter()
        self.bytes_out = self.bytes_in = self.sent = 0
        self.spent = 0.0
        self.secrets = tuple(s.encode() for s in self.config.secrets)
        self.told: tuple[TenantTable, tuple] | None = None  # a table, and what the module is told of it
        self.stopped, self.said = False, {}
        self.open: dict[
            int, tuple[str, str | None, int | None]
        ] = {}  # runs: server, its budget and ticket there
        self._budgets()
        owner.register_observer(self)
        owner.register_tenant_quotas(self.live_tenants)

    def _budgets(self) -> None:
        self.tenants = {b.subject: b.name for b in self.config.budgets if b.kind is BudgetKind.TENANT}
        self.repeats = {b.subject: b.name for b in self.config.budgets if b.kind is BudgetKind.RETRIES}
        self.servers = {b.subject: b.name for b in self.config.budgets if b.kind is BudgetKind.SERVER}

    def prepare(self, config: Config, tenants: TenantTable) -> Generator[None, None, Callable[[], None]]:
        """What a configuration read again comes to; nothing changes before the call that it gives."""
        peers = config.peers or self.config
        budgets = {b.subject: b.name for b in peers.budgets if b.kind is BudgetKind.TENANT}
        told = tenants, self._told(tenants, budgets, config.settings.fleet_size)
        yield
        return lambda: self._configure(config, told)

    def _configure(self, config: Config, told: tuple[TenantTable, tuple]) -> None:
        self.told = told
        if config.peers is None:
            return
        self.config, self.secrets = config.peers, tuple(s.encode() for s in config.peers.secrets)
        self._budgets()
        self.group.retune(terms_of(config), time.monotonic())

    # ---- datagrams
    def start(self) -> None:
        if self.stopped:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind(self.config.listen)
        except OSError as error:
            sock.close()
            if error.errno != errno.EADDRINUSE:
                self.log.error("no socket for peers: they hear nothing of this worker", why=str(error))
            self.loop.call_later(BIND_S, self.start)
            return
        self.sock = sock
        self.log.info("started", part="Peers", listen=sock.getsockname())
        self.loop.on_readable(sock.fileno(), self._readable)
        self._beat()

    def _beat(self) -> None:
        if self.sock is None:
            return
        began = time.thread_time()
        self._send(self.group.beat(time.monotonic()))
        self._say()
        self.spent += time.thread_time() - began
        self.loop.call_later(BEAT_S, self._beat)

    def _readable(self) -> None:
        began = time.thread_time()
        for _ in range(AT_ONCE):
            try:
                data, source = self.sock.recvfrom(wire.MOST + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # what a datagram of ours came to, which nobody took
                continue
            self.bytes_in += len(data)
            try:
                message = wire.unpacked(data, self.secrets, self.config.group)
            except wire.Rejected as why:
                self.rejected[str(why)] += 1
                continue
            self._send(self.group.took(message, _text(source), time.monotonic()))
        self.spent += time.thread_time() - began

    def say(self, name: str, topic: str, data: bytes) -> None:
        """At once, to one member's extension; as lost where it is not known."""
        self._send(self.group.say(name, topic, data))

    def _send(self, sends: list[Send]) -> None:
        for s in sends:
            self.seq += 1
            try:
                data = wire.packed(
                    Message(self.config.group, self.group.life, s.to, s.to_inc, self.seq, s.items),
                    self.secrets[0],
                )
                self.sock.sendto(data, _address(s.address))
                self.bytes_out += len(data)
                self.sent += 1
            except ValueError as error:
                self.log.error("a message to a peer was too long or its address is none", why=str(error))
            except OSError:  # as if it were lost
                pass

    def _say(self) -> None:
        """What who is on call wants in the log: changes, each once."""
        now, m = time.monotonic(), self.group.members
        alone = m.alone(now) is not None
        news: dict[str, Any] = {"alone": alone, "duplicate": m.duplicate is not None}
        news |= {f"member {n}": x.state for n, x in m.members.items()}
        news |= {f"service {n}": s.standing for n, s in self.group.judge.services.items()}
        for what, value in news.items():
            before = self.said.get(what)
            if before == value or (before is None and value in (False, "alive", "in")):
                continue
            if what == "duplicate":
                self.log.error(
                    "another process says that it is this member: this one uses no budget any more; "
                    "end one of the two",
                    later=str(m.duplicate),
                )
            elif what == "alone":
                self.log.warning("no peer is heard" if value else "peers are heard again")
            elif what.startswith("service"):
                s = self.group.judge.services[what[8:]]
                self.log.warning("judgement on a server", server=what[8:], standing=value, why=s.why)
            else:
                self.log.warning("member", member=what[7:], state=value)
        self.said = news

    def stop(self, reason: str) -> None:
        """Gives all back and says goodbye; another process may take the address from then on."""
        self.stopped = True
        if self.sock is not None:
            self._send(self.group.leave(reason))
            self.loop.forget(self.sock.fileno())
            self.sock.close()
            self.sock = None

    # ---- the core's observer
    def request_arrived(self, request: InboundRequest) -> None:
        budget = self.tenants.get(request.tenant)
        if budget is not None:
            now = time.monotonic()
            wants, _ = self.group.shares[budget].meter.wants(now)
            self.group.asked(budget, wants <= self.part(budget), now)

    def request_answered(self, request: InboundRequest, figure: str | None, backoff: int) -> None:
        if figure is not None:
            word = figure.removesuffix("_total")
            self.group.ledger.add(f"class/{request.request_class.name}/{word}")
            if request.tenant is not None:
                self.group.ledger.add(f"tenant/{request.tenant}/{word}")

    # ---- the listener of the core
    def health_changed(self, good: bool) -> None:
        pass  # members are judged by what they say to each other

    def idle_timeout_changed(self, hold_for: int) -> None:
        pass

    def shutdown_started(self, remaining: int) -> None:
        self.group.leaving = True

    # ---- shares of tenants
    def part(self, budget: str) -> int:
        return (self.group.part(budget, time.monotonic()) or 0) if not self.group.yielded else 0

    def live_tenants(self, tenants: TenantTable, fleet_size: int) -> tuple:
        """Tenants by position, for the module: those that have a budget with their part of it."""
        table, told = self.told or (None, ())
        return told if table is tenants else self._told(tenants, self.tenants, fleet_size)

    def _told(self, tenants: TenantTable, budgets: Mapping[str, str], fleet_size: int) -> tuple:
        out = list(tenants.by_position)
        for name, budget in budgets.items():
            position = tenants.positions.get(name)
            if position is not None:
                out[position] = FleetTenant(out[position], self, budget, fleet_size)
        return tuple(out) if budgets else tenants.by_position

    # ---- what the AJP servers' executor asks
    def order(self, busy: Mapping[str, int]) -> list[str]:
        return self.group.judge.order(busy, time.monotonic())

    def began(self, server: str, cls: str) -> int | None:
        """A ticket, or None where the budget of that server gives none."""
        now, budget, ticket = time.monotonic(), self.servers.get(server), None
        if budget is not None:
            ticket = self.group.use(budget, now)
            if ticket is None:
                return None
        self.tickets += 1
        self.open[self.tickets] = server, budget, ticket
        self.group.judge.began(server, self.tickets, cls, now)
        return self.tickets

    def ended(self, ticket: int, verdict: str) -> None:
        server, budget, used = self.open.pop(ticket)
        if budget is not None and used is not None:
            self.group.done(budget, used)
        self.group.judge.ended(server, ticket, verdict, time.monotonic())

    def longest(self, server: str) -> float | None:
        """s that a run at this server may take, where a budget of runs counts on it."""
        budget = self.servers.get(server)
        return self.group.shares[budget].holder.budget.longest_s if budget is not None else None

    def may_repeat(self, server: str) -> bool:
        """Whether one more try may go to this server: at the moment of use, by the fleet's budget."""
        budget = self.repeats.get(server) or self.repeats.get(None)
        return budget is not None and self.group.use(budget, time.monotonic()) is not None

    # ---- for operators
    def view(self) -> dict[str, Any]:
        return told(self.group, time.monotonic()) | {
            "rejected": dict(self.rejected),
            "datagrams": self.sent,
            "bytes_out": self.bytes_out,
            "bytes_in": self.bytes_in,
            "cpu_s": round(self.spent, 3),
            "pid": os.getpid(),
        }

    def figures(self) -> str:
        now, g = time.monotonic(), self.group
        states = Counter(m.state for m in g.members.members.values())
        alone = g.members.alone(now)
        values: dict[str, Any] = {
            "app_peers": [(f'{{state="{s}"}}', states[s]) for s in ("alive", "suspect", "dead", "left")],
            "app_peers_alone_seconds": [("", alone or 0.0)],
            "app_peers_duplicate": [("", int(g.yielded))],
            "app_peers_rejected_total": [(f'{{why="{w}"}}', n) for w, n in sorted(self.rejected.items())],
            "app_peers_bytes_total": [('{way="out"}', self.bytes_out), ('{way="in"}', self.bytes_in)],
        }
        for name, what in (("held", "amount"), ("used_total", "used"), ("denied_total", "denied")):
            values[f"app_budget_{name}"] = [
                (f'{{budget="{b}"}}', s.holder.amount(now) if what == "amount" else getattr(s.meter, what))
                for b, s in g.shares.items()
            ]
        values["app_server_left_out"] = [
            (f'{{server="{n}"}}', int(s.standing in ("out", "trial"))) for n, s in g.judge.services.items()
        ]
        return format_samples(values)
