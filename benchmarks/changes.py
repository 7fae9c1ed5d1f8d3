"""Changes of configuration at size: a real appliance with so many tenants and routes before a stand-in AJP
server in a process of its own, and a client over sockets at a steady rate in another.

`python -m benchmarks.changes [--root NAME=FOLDER ...] [--sizes TENANTS/ROUTES,...] [--changes N]
[--seconds S] [--rate N] [--many N] [--many-size TENANTS/ROUTES] [--json FILE]`. Trees take turns at a size.
Measured: until ready, processor time at rest, memory; what the client waits without and during changes of one
tenant or one route (the file replaced, SIGHUP), each wait from when its request was due; from the signal
until a request of the new tenant or route is served. `--many`: so many changes in one run, each as soon as
the one before is in force.
"""

import argparse
import http.client
import json
import multiprocessing
import os
import queue
import random
import select
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.append(str(ROOT))

from benchmarks.read_cost import used  # noqa: E402
from ochrehoist.lab.toml import toml  # noqa: E402
from tests.stand_ins.ajp_client import AjpClient  # noqa: E402
from tests.stand_ins.ajp_server import InstantServer  # noqa: E402
from tests.support.site_settings import site_settings  # noqa: E402

SIZES = "3/3,1000/65,10000/655,58000/3800"
READY_S = 60.0  # after which a start is given up
FORCE_S = 60.0  # and a change
PROBE_S = 0.005  # between two questions whether a change is in force
CONNECTIONS = 24  # of the client, each with one request at a time
STABLE = 3  # tenants and routes, the first ones, that the client asks for: they never change
REST_S = 5.0


# ---- the file
class Site:
    """A configuration of so many tenants and routes, each a table, as in deploy/."""

    def __init__(self, tenants: int, routes: int, server: str) -> None:
        self.rng, self.number = random.Random(tenants), 0
        site = site_settings()
        site["FamilyInfo"] |= {"Cores": 16, "HeapKb": 90e6}
        del site["Tenants"]
        self.top = {
            "name": "w1",
            "stop_ms": 2500,
            "limits": {"memory_mb": 192, "sockets": 512},
            "admin": "127.0.0.1:0",
        }
        self.ajp = {"listen": "127.0.0.1:0", "servers": [{"address": server, "reply_ms": 15_000}]}
        self.settings = site
        self.share = 1 / tenants
        self.tenants = [self._tenant(f"tenant{n}") for n in range(tenants)]
        self.routes = [self._route(f"/svc{n}/*") for n in range(routes)]

    def _tenant(self, name: str) -> str:
        return f'[[settings.Tenants]]\nName = "{name}"\nQuotaPerS = 2000.0\nFraction = {self.share!r}\n'

    def _route(self, uri: str) -> str:
        return f'[[ajp.rules]]\nuri = "{uri}"\nclass = "read"\n'

    def change(self) -> dict[str, str]:
        """Another tenant or another route in the place of one, by turns; a request that needs it."""
        self.number += 1
        n = self.number
        if n % 2:
            self.tenants[self._place(self.tenants)] = self._tenant(f"new{n}")
            return {"tenant": f"new{n}", "uri": "/svc0/x"}
        self.routes[self._place(self.routes)] = self._route(f"/new{n}/*")
        return {"tenant": "tenant0", "uri": f"/new{n}/x"}

    def _place(self, lines: list[str]) -> int:
        """At random, none of the stable ones; the last one grows where there are no others."""
        if len(lines) == STABLE:
            lines.append("")
        return self.rng.randrange(STABLE, len(lines))

    def text(self) -> str:
        return "\n".join(
            [
                *self._lines(self.top),
                "[ajp]",
                *self._lines(self.ajp),
                "",
                *self.routes,
                "[settings]",
                *self._lines(self.settings),
                "",
                *self.tenants,
            ]
        )

    def _lines(self, values: dict[str, Any]) -> list[str]:
        return [f"{key} = {toml(value)}" for key, value in values.items()]


# ---- the processes beside
def serve(out: Connection) -> None:
    server = InstantServer()
    out.send(server.address)
    out.recv()


class Client:
    """Sends reads at a steady rate, each when it is due, and notes how long after that it was answered."""

    def __init__(self, address: tuple, rate: float) -> None:
        self.idle = deque(AjpClient(address) for _ in range(CONNECTIONS))
        self.rate, self.poll = rate, select.poll()
        self.by_fd = {c.sock.fileno(): c for c in self.idle}
        for fd in self.by_fd:
            self.poll.register(fd, select.POLLIN)
        self.busy: dict[int, tuple[float, bytearray]] = {}
        self.due: deque[float] = deque()
        self.waited: list[tuple[float, float]] = []  # when it was due, and how long (s)
        self.kinds: Counter = Counter()
        self.sent = 0

    def send(self) -> None:
        connection, due = self.idle.popleft(), self.due.popleft()
        self.busy[connection.sock.fileno()] = due, bytearray()
        self.sent += 1
        connection.forward("GET", f"/svc{self.sent % STABLE}/x", {"X-Tenant": f"tenant{self.sent % STABLE}"})

    def heard(self, fd: int) -> None:
        connection, (due, got) = self.by_fd[fd], self.busy[fd]
        data = connection.sock.recv(65536)
        if not data:
            self.kinds["cut off"] += 1
            del self.busy[fd]
            self.poll.unregister(fd)
            return
        got += data
        at, status = 0, 0
        while len(got) >= at + 4 and len(got) >= at + 4 + (size := int.from_bytes(got[at + 2 : at + 4])):
            if got[at + 4] == 4:
                status = int.from_bytes(got[at + 5 : at + 7])
            if got[at + 4] == 5:
                self.kinds[status] += 1
                self.waited.append((due, time.monotonic() - due))
                del self.busy[fd]
                self.idle.append(connection)
            at += 4 + size

    def run(self, orders: Connection) -> None:
        """Until it is told to end; each order is answered by what was noted since the one before."""
        began, count, going = time.monotonic(), 0, True
        while going or self.busy or self.due:
            now = time.monotonic()
            if going and began + count / self.rate <= now:
                self.due.append(began + count / self.rate)
                count += 1
                continue
            while self.due and self.idle:
                self.send()
            wait = max(0.0, began + count / self.rate - now) if going else 0.05
            for fd, _ in self.poll.poll(wait * 1000 + 0.05):
                if fd in self.busy:
                    self.heard(fd)
            if going and orders.poll():
                going = orders.recv() != "end"
                if going:
                    orders.send(self._told())
            if not going and now > began + count / self.rate + 30:
                break
        orders.send(self._told() | {"open": len(self.busy) + len(self.due)})

    def _told(self) -> dict[str, Any]:
        out = {"waited": [w for _, w in self.waited], "kinds": dict(self.kinds), "sent": self.sent}
        self.waited, self.kinds = [], Counter()
        return out


def call(address: tuple, rate: float, orders: Connection) -> None:
    Client(address, rate).run(orders)


@contextmanager
def beside(target: Any, *arguments: Any) -> Iterator[Connection]:
    """A process of its own, and the way to it."""
    here, there = multiprocessing.Pipe()
    fork = multiprocessing.get_context("fork")
    process = fork.Process(target=target, args=(*arguments, there), daemon=True)
    process.start()
    there.close()
    try:
        yield here
    finally:
        process.kill()
        process.join()


# ---- the appliance
class Appliance:
    def __init__(self, root: Path, site: Site, folder: Path) -> None:
        self.site, self.file = site, folder / "ajp.toml"
        self.at: dict[str, list] = {}
        self.said: queue.Queue[dict] = queue.Queue()
        self.events: Counter = Counter()
        self.replace()
        env = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "OCHREHOIST_"))}
        self.began = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ochrehoist"],
            cwd=root,
            stderr=subprocess.PIPE,
            text=True,
            env=env | {"TMPDIR": str(folder), "OCHREHOIST_AJP": str(self.file)},
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        for line in self.process.stderr:
            told = json.loads(line)
            self.events[told["event"]] += 1
            if told["event"] == "started":
                self.at[told["part"]] = told["listen"]

    def ready(self) -> float | None:
        """s until `/status` says yes; None where it did not in time."""
        while time.monotonic() - self.began < READY_S and self.process.poll() is None:
            if "Operators" in self.at and self.status()[0] == 200:
                return time.monotonic() - self.began
            time.sleep(0.01)
        return None

    def status(self) -> tuple[int, dict]:
        connection = http.client.HTTPConnection(*self.at["Operators"], timeout=5)
        try:
            connection.request("GET", "/status")
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read())
        except OSError:
            return 0, {}
        finally:
            connection.close()

    def memory(self) -> dict[str, float]:
        """MB: now, and at the most since it was last asked for."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        kb = {line.split(":")[0]: int(line.split()[1]) for line in lines if line.startswith("Vm")}
        Path(f"/proc/{self.process.pid}/clear_refs").write_text("5")
        return {"now": kb["VmRSS"] / 1024, "peak": kb["VmHWM"] / 1024}

    def replace(self) -> None:
        new = self.file.with_suffix(".new")
        new.write_text(self.site.text())
        new.replace(self.file)

    def change(self, probe: "Prober") -> tuple[float, float] | None:
        """s from the signal until it is in force, and how late that may have been seen."""
        wanted = self.site.change()
        self.replace()
        began = time.monotonic()
        self.process.send_signal(signal.SIGHUP)
        return probe.until(wanted, began)

    def close(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Prober:
    """Asks on one connection whether a change is in force."""

    def __init__(self, address: tuple) -> None:
        self.address, self.web = address, AjpClient(address)

    def until(self, wanted: dict[str, str], began: float) -> tuple[float, float] | None:
        before = began
        while time.monotonic() - began < FORCE_S:
            asked = time.monotonic()
            status, _, _ = self.web.call("GET", wanted["uri"], {"X-Tenant": wanted["tenant"]})
            if status == 200:
                return time.monotonic() - began, time.monotonic() - before
            before = asked
            time.sleep(PROBE_S)
        return None


# ---- what is measured
def quantiles(values: list[float], scale: float = 1000) -> dict[str, float]:
    """ms: the middle, 99 of 100, 99.9 of 100, the worst."""
    if not values:
        return {}
    values = sorted(values)
    at = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
    return {
        name: round(scale * values[min(len(values) - 1, int(len(values) * q))], 3) for name, q in at.items()
    } | {"worst": round(scale * values[-1], 3), "count": len(values)}


def one(root: Path, tenants: int, routes: int, args: argparse.Namespace) -> dict[str, Any]:
    """One tree at one size."""
    with tempfile.TemporaryDirectory() as folder, beside(serve) as server:
        worker = Appliance(root, Site(tenants, routes, server.recv()), Path(folder))
        try:
            out: dict[str, Any] = {"ready_s": worker.ready()}
            if out["ready_s"] is None:
                return out | {
                    "gave_up_after_s": READY_S,
                    "cpu_s": used(worker.process.pid),
                    "mb": worker.memory(),
                }
            time.sleep(2)
            began, cpu = time.monotonic(), used(worker.process.pid)
            time.sleep(REST_S)
            out["at_rest_%"] = round(100 * (used(worker.process.pid) - cpu) / (time.monotonic() - began), 2)
            out["mb"] = worker.memory()
            address = tuple(worker.at["AjpFront"])
            with beside(call, address, args.rate) as client:
                time.sleep(1)
                client.send("mark")
                client.recv()
                out |= steady(worker, client, args)
                out |= changes(worker, client, Prober(address), args)
                client.send("end")
                last = client.recv()
                out["unanswered"] = last["open"] + last["kinds"].get("cut off", 0)
            out["events"] = dict(worker.events)
            return out
        finally:
            worker.close()


def steady(worker: Appliance, client: Connection, args: argparse.Namespace) -> dict[str, Any]:
    cpu = used(worker.process.pid)
    time.sleep(args.seconds)
    client.send("mark")
    told = client.recv()
    return {
        "steady_ms": quantiles(told["waited"]),
        "steady_answers": told["kinds"],
        "steady_cpu_%": round(100 * (used(worker.process.pid) - cpu) / args.seconds, 2),
    }


def changes(
    worker: Appliance, client: Connection, prober: Prober, args: argparse.Namespace
) -> dict[str, Any]:
    """Changes one after the other, and after each as long a time without one, to compare with."""
    forces, late, worsts, waited, kinds = [], [], [], [], Counter()
    calm, calm_worsts = [], []
    for _ in range(args.changes):
        began = time.monotonic()
        took = worker.change(prober)
        if took is None:
            break
        forces.append(took[0])
        late.append(took[1])
        time.sleep(0.1 + min(took[0], 0.5))
        client.send("mark")
        told = client.recv()
        waited += told["waited"]
        worsts.append(max(told["waited"], default=0.0))
        kinds.update(told["kinds"])
        time.sleep(time.monotonic() - began)
        client.send("mark")
        told = client.recv()
        calm += told["waited"]
        calm_worsts.append(max(told["waited"], default=0.0))
        kinds.update(told["kinds"])
    status = worker.status()[1].get("configuration", {})
    return {
        "in_force_ms": quantiles(forces),
        "seen_late_by_ms": quantiles(late),
        "changing_ms": quantiles(waited),
        "worst_of_each_ms": quantiles(worsts),
        "calm_ms": quantiles(calm),
        "worst_of_each_calm_ms": quantiles(calm_worsts),
        "changing_answers": dict(kinds),
        "changing_mb": worker.memory(),
        "configuration": status,
    }


def many(root: Path, tenants: int, routes: int, args: argparse.Namespace) -> dict[str, Any]:
    """So many changes in one run, the next as soon as one is in force."""
    with tempfile.TemporaryDirectory() as folder, beside(serve) as server:
        worker = Appliance(root, Site(tenants, routes, server.recv()), Path(folder))
        try:
            if worker.ready() is None:
                return {"ready_s": None}
            address = tuple(worker.at["AjpFront"])
            memory, forces, waited, kinds, missed = [worker.memory()], [], [], Counter(), 0
            with beside(call, address, args.rate) as client:
                prober, began = Prober(address), time.monotonic()
                for n in range(args.many):
                    took = worker.change(prober)
                    if took is None:
                        missed += 1
                        break
                    forces.append(took[0])
                    if (n + 1) % max(1, args.many // 10) == 0:
                        memory.append(worker.memory())
                        client.send("mark")
                        told = client.recv()
                        waited += told["waited"]
                        kinds.update(told["kinds"])
                        print(
                            f"  {n + 1} changes in {time.monotonic() - began:.0f} s, "
                            f"{memory[-1]['now']:.1f} MB",
                            flush=True,
                        )
                client.send("end")
                last = client.recv()
            kinds.update(last["kinds"])
            waited += last["waited"]
            return {
                "changes": len(forces),
                "not_in_force": missed,
                "took_s": time.monotonic() - began,
                "in_force_ms": quantiles(forces),
                "client_ms": quantiles(waited),
                "answers": dict(kinds),
                "unanswered": last["open"] + kinds.get("cut off", 0),
                "sent": last["sent"],
                "mb": memory,
                "events": dict(worker.events),
            }
        finally:
            worker.close()


def size(text: str) -> tuple[int, int]:
    tenants, routes = text.split("/")
    return int(tenants), int(routes)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", action="append", default=[], help="NAME=FOLDER; by default now=this tree")
    parser.add_argument("--sizes", default=SIZES)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=170.0)
    parser.add_argument("--many", type=int, default=0)
    parser.add_argument("--many-size", default="1000/65")
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    roots = dict(r.split("=", 1) for r in args.root) or {"now": str(ROOT)}
    rows: list[dict[str, Any]] = []

    def keep(row: dict[str, Any]) -> None:
        rows.append(row)
        print(json.dumps(row), flush=True)
        if args.json:
            args.json.write_text(json.dumps(rows, indent=1))

    for text in filter(None, args.sizes.split(",")):
        for name, root in roots.items():
            keep(
                {"tree": name, "size": text, "load": os.getloadavg()[0]} | one(Path(root), *size(text), args)
            )
    if args.many:
        for name, root in roots.items():
            keep(
                {"tree": name, "size": args.many_size, "load": os.getloadavg()[0]}
                | many(Path(root), *size(args.many_size), args)
            )


if __name__ == "__main__":
    main()
