"""The processes, services and links of a run: every link passes a proxy (asyncio)."""

import asyncio
import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from ochrehoist.lab.fault_proxy import ConnectionProxy, DatagramProxy, format_address
from ochrehoist.lab.fault_schedule import FaultKind
from ochrehoist.lab.load_generator import CallTarget
from ochrehoist.lab.machine_cores import RunClock
from ochrehoist.lab.outcomes import ServiceRun
from ochrehoist.lab.platform_client import ThriftWorkerClient
from ochrehoist.lab.scenario import Scenario
from ochrehoist.lab.stand_in_kernel import Kernel
from ochrehoist.lab.stand_in_service import AjpService, Service
from ochrehoist.lab.worker_client import AjpWorkerClient, WorkerClient
from ochrehoist.lab.worker_configuration import (
    ApplianceConfiguration,
    PlatformConfiguration,
    peers_table,
)
from ochrehoist.lab.worker_process import WorkerProcess, store_folder
from ochrehoist.plan.cores import Machine

SETTLE_TIMEOUT_S = 60.0
SETTLE_CHECK_S = 0.1
FULL_HOLDING_FRACTION = 0.95  # of a budget's amount

AnyWorker = WorkerProcess[ApplianceConfiguration] | WorkerProcess[PlatformConfiguration]


@dataclass
class Links:
    """The proxies of all links."""

    peers: dict[tuple[str, str], DatagramProxy] = field(default_factory=dict)  # by sender and recipient
    fronts: dict[str, ConnectionProxy] = field(default_factory=dict)  # of callers, by worker
    agents: dict[str, ConnectionProxy] = field(default_factory=dict)  # of health checks, by worker
    services: dict[tuple[str, str], ConnectionProxy] = field(default_factory=dict)  # by worker and service

    def connections(self) -> Iterator[ConnectionProxy]:
        """All of TCP."""
        yield from self.fronts.values()
        yield from self.agents.values()
        yield from self.services.values()


class Deployment:
    """What a scenario consists of while it runs. `root`: the tree that workers are run from."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path, root: Path, clock: RunClock) -> None:
        self.scenario = scenario
        self.seed = seed
        self.clock = clock
        self.runs: list[ServiceRun] = []
        self.services: dict[str, Service] = {}
        self.links = Links()
        self.duplicates: list[WorkerProcess[ApplianceConfiguration]] = []
        self._folder = folder
        self._root = root
        self._link_random = Random(f"{seed}/links")
        self._kernels: dict[str, Kernel] = {}  # of the platform's form, by service
        self.appliances: dict[str, WorkerProcess[ApplianceConfiguration]] = {}
        self.platform_workers: dict[str, WorkerProcess[PlatformConfiguration]] = {}
        self._create_workers()

    @property
    def workers(self) -> dict[str, AnyWorker]:
        """All workers of either form, by name; without duplicates."""
        return {**self.appliances, **self.platform_workers}

    # Setting up.

    def _create_workers(self) -> None:
        shifts_clock = any(fault.fault_kind is FaultKind.CLOCK for fault in self.scenario.faults)
        for name in self.scenario.worker_names:
            if self.scenario.is_platform:
                platform = PlatformConfiguration(name, self.scenario)
                self.platform_workers[name] = WorkerProcess(
                    name, platform, self._folder, self._root, shifts_clock=shifts_clock
                )
            else:
                appliance = self._appliance_configuration(name)
                self.appliances[name] = WorkerProcess(
                    name, appliance, self._folder, self._root, shifts_clock=shifts_clock
                )

    def _appliance_configuration(self, name: str) -> ApplianceConfiguration:
        return ApplianceConfiguration(
            name,
            self.scenario,
            str(store_folder(self._folder, name)),
            names_servers=self.scenario.peers,
            extra_tables=self._extra_tables(name),
        )

    def _extra_tables(self, name: str) -> dict[str, Any]:
        """The scenario tells how many witnesses there are; here, who they are: the next ones in turn."""
        tables: dict[str, Any] = dict(self.scenario.tables)
        recovery = self.scenario.tables.get("recovery")
        if recovery is not None:
            names = self.scenario.worker_names
            position = names.index(name)
            others = names[position + 1 :] + names[:position]
            tables["recovery"] = recovery | {"witnesses": others[: self.scenario.witness_count]}
        return tables

    async def connect(self) -> None:
        """Starts all services and proxies."""
        await self._start_services()
        names = self.scenario.worker_names
        for position, name in enumerate(names):
            await self._link_services(name, position)
            self.links.fronts[name] = await ConnectionProxy(self._link_random).start()
            self.links.agents[name] = await ConnectionProxy(self._link_random).start()
            for other in names:
                if other != name:
                    self.links.peers[name, other] = await DatagramProxy(self._link_random).start()
        if self.scenario.peers:
            for name, worker in self.appliances.items():
                members = {other: self.links.peers[name, other].address for other in names if other != name}
                worker.configuration.peers = peers_table(self.scenario, name, members)

    async def _start_services(self) -> None:
        described = self.scenario.services
        for name in self.scenario.service_names:
            machine = Machine(
                described.cores, described.speed, cold_from=described.cold_from, cold_s=described.cold_s
            )
            if self.scenario.is_platform:
                kernel = Kernel(name, machine, self.clock, self.runs)
                self._kernels[name] = kernel
                self.services[name] = await kernel.start()
            else:
                self.services[name] = await AjpService(name, machine, self.clock, self.runs).start()

    async def _link_services(self, worker: str, position: int) -> None:
        """A worker reaches its own service, or all that are shared."""
        for number, (service, stand_in) in enumerate(self.services.items()):
            if self.scenario.has_own_services and number != position:
                continue
            proxy = await ConnectionProxy(self._link_random, ("127.0.0.1", stand_in.port)).start()
            self.links.services[worker, service] = proxy
            address = format_address(proxy.address)
            if worker in self.appliances:
                self.appliances[worker].configuration.servers[service] = address
            elif not self.platform_workers[worker].configuration.kernel:
                self.platform_workers[worker].configuration.kernel = address

    def call_targets(self) -> dict[str, CallTarget]:
        """How callers reach each worker."""
        return {name: self._call_target(name, worker) for name, worker in self.workers.items()}

    def _call_target(self, name: str, worker: AnyWorker) -> CallTarget:
        return CallTarget(
            client=self._client(name),
            agent=self.links.agents[name],
            front=self.links.fronts[name],
            process_count=lambda: len(worker.starts_s),
        )

    def _client(self, name: str) -> WorkerClient:
        address = self.links.fronts[name].address
        if self.scenario.is_platform:
            return ThriftWorkerClient(address, self._kernels[self._first_service(name)])
        return AjpWorkerClient(name, address)

    def _first_service(self, worker: str) -> str:
        """The first service that a worker has a link to."""
        return next(service for name, service in self.links.services if name == worker)

    # Processes.

    async def start_all(self) -> None:
        """Starts all workers, and waits until the group has settled. Raises RunAbortedError."""
        if self.scenario.state and self.scenario.witness_count:
            stores = [worker.store for worker in self.workers.values()]
            await asyncio.gather(*(store.initialize(self._root) for store in stores))
        await asyncio.gather(*(self.start_worker(name) for name in self.workers))
        await self._wait_until_settled()
        for worker in self.workers.values():
            worker.store.keep_copy()

    async def _wait_until_settled(self) -> None:
        """Until each worker knows all others and every budget is held, or for as long as that may take."""
        latest_s = time.monotonic() + SETTLE_TIMEOUT_S
        while self.scenario.peers and time.monotonic() < latest_s:
            views = [(await worker.status())["peers"] for worker in self.workers.values()]
            all_known = all(len(view["members"]) == len(self.workers) - 1 for view in views)
            all_held = all(
                sum(view["budgets"][budget.name]["held"] for view in views)
                >= FULL_HOLDING_FRACTION * budget.amount
                for budget in self.scenario.budgets
            )
            if all_known and all_held:
                return
            await asyncio.sleep(SETTLE_CHECK_S)

    def begin_run(self) -> None:
        """The clock of the run has just begun."""
        for service in self.services.values():
            service.cores.begin_run()
        for worker in self.workers.values():
            worker.begin_run()

    async def start_worker(self, name: str) -> None:
        """Starts a process of a worker, and points its links at it. Raises RunAbortedError."""
        worker = self.workers[name]
        await worker.start(self.clock())
        front = "ThriftFront" if self.scenario.is_platform else "AjpFront"
        for proxy, part in ((self.links.fronts[name], front), (self.links.agents[name], "AgentCheck")):
            proxy.set_target(worker.addresses.get(part))
            await proxy.set_refusing(False)
        for (_, recipient), datagram_proxy in self.links.peers.items():
            if recipient == name and "Peers" in worker.addresses:
                datagram_proxy.set_target(worker.addresses["Peers"])

    async def start_duplicate(self, name: str) -> None:
        """Starts a second process of the same name, with a copy of the file, beside the links' target."""
        duplicate_name = f"{name}'"
        configuration = replace(
            self.appliances[name].configuration,
            store=str(store_folder(self._folder, duplicate_name)),
            names_servers=True,
        )
        duplicate = WorkerProcess(duplicate_name, configuration, self._folder, self._root)
        self.duplicates.append(duplicate)
        await duplicate.start(self.clock())

    async def refuse_connections(self, name: str) -> None:
        """No process listens at the addresses of a worker now."""
        await self.links.fronts[name].set_refusing(True)
        await self.links.agents[name].set_refusing(True)

    async def add_kernel_address(self, name: str) -> None:
        """The platform gives the process that replaces another an address of its own at the same kernel."""
        service = self._first_service(name)
        port = await self._kernels[service].add_address()
        old = self.links.services[name, service]
        self.links.services[name, f"{service}'{len(self.links.services)}"] = old
        proxy = await ConnectionProxy(self._link_random, ("127.0.0.1", port)).start()
        proxy.share_faults(old)
        self.links.services[name, service] = proxy
        self.platform_workers[name].configuration.kernel = format_address(proxy.address)

    def restart_services_cold(self, name: str) -> None:
        """The machine of a worker's own services was restarted with it."""
        if self.scenario.has_own_services:
            for worker, service in self.links.services:
                if worker == name and service in self.services:
                    self.services[service].cores.restart_cold()

    def close(self) -> None:
        """Ends all processes, proxies and services."""
        for worker in (*self.workers.values(), *self.duplicates):
            worker.set_paused(False)
            worker.kill()
        for proxy in self.links.connections():
            proxy.close()
        for service in self.services.values():
            service.stop()
