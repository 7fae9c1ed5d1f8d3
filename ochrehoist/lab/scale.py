"""A scale run: hundreds of hollow workers beside real ones in one group, at rest and under faults, while
changes of configuration come in. It keeps its own bounds, and leaves no process (asyncio).

Times are s of the workers' clocks; with a `pace` below 1 these run slower than the wall's.
"""

import asyncio
import os
import platform
import socket
import statistics
import subprocess
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass, replace
from importlib import metadata
from pathlib import Path
from random import Random
from typing import Any

from ochrehoist.errors import OchrehoistError
from ochrehoist.lab.scale_workers import RealWorker, Shell, resident_kb
from ochrehoist.lab.scenario import Scenario, parse
from ochrehoist.lab.toml import toml_file
from ochrehoist.lab.workers import ROOT, settings

FAULTS = ("rack", "zone", "region", "restart")
PARTS = {"rack": 20, "restart": 10}  # of all members, one part
VOTERS, SERVERS, BUDGET, ZONES = 7, 3, 60, 8
MOST_PROCESSES = 300
LOOK_S = 0.5  # between two looks at who knows whom
WATCH_S = 0.25  # between two looks at the memory
EMPTY_S = 2.0  # of wall time
DOWN_S = 1.0  # that a restarted one is away
BEAT_S = 0.05  # of peers: each is one chance to be late
LATE_PART = 0.005  # of the beats, that may be late before figures are not to be trusted
SECRET = "the secret of a scale run"
Tell = Callable[[float, str], None]


@dataclass(frozen=True)
class Spec:
    """What is run. `members` counts hollow and `real` ones together."""

    members: int
    tenants: int = 3
    routes: int = 3
    changes: int = 0
    regions: int = 3
    real: int = 0
    seed: int = 1
    seconds: float = 10.0
    pace: float = 1.0  # of the workers' clocks
    uses: float = 1.0  # requests that each hollow one is told of, a second
    faults: tuple[str, ...] = FAULTS
    lasts: float = 5.0  # of a cut
    met: bool = False  # begins as if all had heard of all: without the joining
    settle_s: float = 3.0  # after all know all, until what is at rest is measured
    join_s: float = 60.0  # at the most, until all know all
    heal_s: float = 60.0  # at the most, after each fault
    limit_s: float = 300.0  # of wall time, for all of it
    most_memory_mb: float | None = None  # by default half of the machine's
    most_processes: int = MOST_PROCESSES
    probe_ms: int = 100


class Bound(OchrehoistError):
    """The run was ended by one of its own bounds; the text says which."""


def machine() -> dict[str, Any]:
    memory = {
        line.split(":")[0]: int(line.split()[1]) // 1024
        for line in Path("/proc/meminfo").read_text().splitlines()
    }
    return {
        "cores": os.cpu_count(),
        "load": [round(x, 2) for x in os.getloadavg()],
        "memory_mb": memory["MemTotal"],
        "free_mb": memory["MemAvailable"],
        "python": platform.python_version(),
        "kernel": platform.release(),
    }


def version(root: Path = ROOT) -> str:
    """The commit of the tree, or the package's version where there is none."""
    with suppress(OSError, subprocess.CalledProcessError):
        head = subprocess.run(
            ["git", "describe", "--always", "--dirty", "--match="],
            cwd=root,
            capture_output=True,
            text=True,
            check=True,
        )
        return head.stdout.strip()
    return metadata.version("ochrehoist")


def spread(values: Sequence[float]) -> dict[str, float] | None:
    if not values:
        return None
    ordered = sorted(values)
    return {"p50": statistics.median(ordered), "max": ordered[-1], "mean": statistics.fmean(ordered)}


class Scale:
    """One run. `root`: the tree whose workers are run."""

    def __init__(self, spec: Spec, root: Path = ROOT) -> None:
        self.spec, self.root, self.rng = spec, root, Random(f"{spec.seed}/scale")
        self.cores = min(os.cpu_count() or 1, 8)
        self.shells: list[Shell] = []
        self.reals: list[RealWorker] = []
        self.notes: list[str] = []
        self.result: dict[str, Any] = {}
        self.peak_kb = 0
        limit = machine()["memory_mb"] / 2
        self.most_kb = int(1024 * min(spec.most_memory_mb or limit, limit))

    # ---- the whole
    def run(self, tell: Tell = lambda share, what: None) -> dict[str, Any]:
        """The figures. Raises Failed, and Bound where it may not begin. No process outlives it."""
        s, hollow = self.spec, self.spec.members - self.spec.real
        if s.real and s.pace != 1:
            raise Bound("real workers know no slow clock: give --pace 1, or --real 0")
        if hollow < 1 or s.real < 0:
            raise Bound("members: fewer than the real ones and one hollow one")
        self.processes = max(1, min(self.cores, hollow // 5))
        if self.processes + s.real > min(s.most_processes, MOST_PROCESSES):
            raise Bound(
                f"{self.processes + s.real} processes, and at most "
                f"{min(s.most_processes, MOST_PROCESSES)} are allowed"
            )
        began = machine()
        with tempfile.TemporaryDirectory(prefix="scale-") as folder:
            self.folder = Path(folder)
            ended = asyncio.run(self._guarded(tell))
        return {
            "version": version(self.root),
            "date": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime()),
            "spec": asdict(s),
            "machine": began,
            "machine_after": machine(),
            "processes": self.processes + s.real,
            "ended": ended,
            "peak_mb": round(self.peak_kb / 1024, 1),
            "most_mb": round(self.most_kb / 1024, 1),
            "notes": self.notes,
        } | self.result

    async def _guarded(self, tell: Tell) -> str:
        work = asyncio.create_task(self._run(tell))
        watch = asyncio.create_task(self._watch())
        try:
            done, _ = await asyncio.wait(
                {work, watch}, timeout=self.spec.limit_s, return_when=asyncio.FIRST_COMPLETED
            )
            if work in done:
                work.result()
                return "whole"
            why = watch.result() if watch in done else f"time: {self.spec.limit_s:g} s are over"
            self.notes.append(f"broken off: {why}")
            return why
        finally:
            # asyncio.wait_for() of Python 3.11 loses a cancellation that comes in the moment of its result.
            left = {work, watch}
            while left:
                for task in left:
                    task.cancel()
                _, left = await asyncio.wait(left, timeout=WATCH_S)
            await asyncio.gather(work, watch, return_exceptions=True)
            for real in self.reals:
                real.kill()
            await asyncio.gather(*(shell.end() for shell in self.shells))

    async def _watch(self) -> str:
        while True:
            pids = [x.process.pid for x in (*self.shells, *self.reals) if x.process]
            used = sum(map(resident_kb, pids)) + resident_kb(os.getpid())
            self.peak_kb = max(self.peak_kb, used)
            if used > self.most_kb:
                return f"memory: {used // 1024} MB, and at most {self.most_kb // 1024} are allowed"
            await asyncio.sleep(WATCH_S)

    async def _run(self, tell: Tell) -> None:
        s = self.spec
        await self._set_up(tell)
        tell(0.1, "waiting until all know all")
        self.result["join"] = await self._whole(s.join_s)
        await self._wait(s.settle_s)
        tell(0.3, "at rest")
        before = await self._marks()
        await self._wait(s.seconds)
        self.result["rest"] = self._between(before, await self._marks())
        changes = asyncio.create_task(self._changes(tell)) if s.changes else None
        self.result["faults"] = []
        for n, kind in enumerate(s.faults):
            tell(0.5 + 0.4 * n / len(s.faults), f"fault: {kind}")
            self.result["faults"].append(await self._fault(kind))
        if changes is not None:
            await changes
        self.result["at_end"] = await self._state()
        self._judge()
        tell(1.0, "over")

    async def _wait(self, seconds: float) -> None:
        await asyncio.sleep(seconds / self.spec.pace)

    def _ask(self, do: str, **more: Any) -> Any:
        return asyncio.gather(*(shell.ask(do, **more) for shell in self.shells))

    # ---- setting up
    async def _set_up(self, tell: Tell) -> None:
        s = self.spec
        names = [f"w{n:04d}" for n in range(s.members - s.real)] + [f"real{n:03d}" for n in range(s.real)]
        self.places = self._addresses(names)
        self.zones = self.zoned(names)
        self.scenario: Scenario = parse(
            {"name": "scale", "workers": 1, "tenants": {f"tenant{n}": 1000.0 for n in range(s.tenants)}}
        )
        hollow = [{"name": n, "peers": self._peers(n)} for n in names if not n.startswith("real")]
        spec = {
            "seed": s.seed,
            "pace": s.pace,
            "limit_s": s.limit_s + 30,
            "uses": s.uses,
            "folder": str(self.folder),
            "text": self._template(),
        }
        for part in range(self.processes):
            self.shells.append(Shell(hollow[part :: self.processes], spec, self.root))
        tell(0.0, f"starting {len(hollow)} hollow workers in {self.processes} processes, {s.real} real ones")
        await asyncio.gather(*(shell.start() for shell in self.shells))
        empty = await self._ask("empty", seconds=EMPTY_S * s.pace)
        self.result["empty_cpu_share"] = sum(e["cpu_s"] / e["seconds"] for e in empty) / len(hollow)
        for n in names[len(hollow) :]:
            top = {"name": n, "admin": "127.0.0.1:0", "peers": self._peers(n)} | self._common()
            self.reals.append(RealWorker(n, self.scenario, self.folder, self.root, top=top))
        for at in range(0, len(self.reals), self.cores):
            await asyncio.gather(*(r.start(0.0) for r in self.reals[at : at + self.cores]))
        # Those who are met begin at once, as all have to be there; else not all in one moment.
        over = 0.0 if s.met else min(5.0, 0.02 * s.members)
        begun = await self._ask("start", over=over)
        self.result["base_mb"] = round(statistics.median(b["base_kb"] for b in begun) / 1024, 1)
        self.result["settings_mb"] = round(statistics.median(b["settings_kb"] for b in begun) / 1024, 1)
        if s.met:
            await self._wait(2 * BEAT_S)  # until each has a status to tell
            lives = [life for x in await self._ask("lives") for life in x["lives"]]
            met = await self._ask("meet", lives=lives)
            refused = self.result["refused_as_members"] = sum(x["refused"] for x in met)
            if refused:
                self.notes.append(
                    f"{refused} times a member was refused by another, which had as many as it "
                    "takes (MOST_MEMBERS)"
                )

    def zoned(self, names: list[str]) -> dict[str, str]:
        """Zones by turns, and regions by turns of zones."""
        return {n: f"region{at % ZONES % self.spec.regions}/zone{at % ZONES}" for at, n in enumerate(names)}

    def _addresses(self, names: list[str]) -> dict[str, str]:
        """An address of loopback for each, as each machine has one; a port that is free there."""
        net = f"127.{self.rng.randint(2, 250) ^ os.getpid() % 128 or 1}"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((f"{net}.1.1", 0))
            port = sock.getsockname()[1]
        return {name: f"{net}.{n // 250 + 1}.{n % 250 + 1}:{port}" for n, name in enumerate(names)}

    def _peers(self, name: str) -> dict[str, Any]:
        """Its table: seven voters by address; the others are found by the first two."""
        voters = self._voters()
        return {
            "listen": self.places[name],
            "group": "scale",
            "secrets": [SECRET],
            "voters": voters,
            "site": self.zones[name],
            "probe_ms": self.spec.probe_ms,
            "members": {n: self.places[n] for n in voters if n != name},
            "start": [self.places[n] for n in voters[:2] if n != name],
            "budgets": [{"name": "again", "use": "repeats", "amount": BUDGET, "floor_lease_s": 4.0}],
        }

    def _voters(self) -> list[str]:
        return list(self.places)[:VOTERS]

    def _common(self, quota: float = 1000.0) -> dict[str, Any]:
        """The tables that all workers share. The first tenant's quota tells the version."""
        classes = [c.name for c in self.scenario.classes]
        rules = [
            {"uri": f"/{classes[n % len(classes)]}/r{n}/*", "class": classes[n % len(classes)]}
            for n in range(self.spec.routes)
        ]
        values = settings(self.scenario)
        values["Tenants"][0]["QuotaPerS"] = quota
        return {
            "stop_ms": 3000,
            "limits": {"memory_mb": 192, "sockets": 512},
            "ajp": {
                "listen": "127.0.0.1:0",
                "default_tenant": "tenant0",
                "rules": rules,
                "servers": [{"name": f"s{n}", "address": f"127.0.0.1:{9 + n}"} for n in range(SERVERS)],
            },
            "settings": values,
        }

    def _template(self, quota: float = 1000.0) -> str:
        return toml_file(self._common(quota))

    # ---- looking
    async def _state(self) -> dict[str, Any]:
        """How many others each believes to be alive, and what they hold of the budget together."""
        looks = await self._ask("look")
        alive = [n for look in looks for n in look["alive"]]
        held = sum(look["held"] for look in looks)
        faults: dict[str, int] = {}
        for look in looks:
            for what, count in look["faults"].items():
                faults[what] = faults.get(what, 0) + count
        return {
            "hollow": len(alive),
            "least": min(alive, default=0),
            "p50": statistics.median(alive) if alive else 0,
            "whole": sum(n == self.spec.members - 1 for n in alive),
            "held": held,
            "late_s": round(max(look["late_s"] for look in looks), 3),
            "faults": faults,
            "rss_mb": round(sum(look["rss_kb"] for look in looks) / 1024, 1),
        }

    async def _whole(self, within: float) -> dict[str, Any]:
        """Until all know all: s of the workers' clocks, or None with who knew how many."""
        began, hollow = time.monotonic(), self.spec.members - self.spec.real
        while True:
            state = await self._state()
            passed = (time.monotonic() - began) * self.spec.pace
            done = state["whole"] == hollow and (self.spec.real > 0 or state["held"] >= 0.95 * BUDGET)
            if done or passed > within:
                return {"all_s": round(passed, 2) if done else None, "waited_s": round(passed, 2)} | state
            await self._wait(LOOK_S)

    async def _marks(self) -> dict[str, Any]:
        shells, reals = await asyncio.gather(
            self._ask("mark"), asyncio.gather(*(r.counters() for r in self.reals))
        )
        return {"at": time.monotonic(), "shells": shells, "reals": reals}

    def _between(self, a: dict[str, Any], b: dict[str, Any]) -> dict[str, Any]:
        """What each worker sent, got and cost, a second of its clock, between two marks."""
        out: dict[str, Any] = {}
        first = {h["name"]: (h, s["at"]) for s in a["shells"] for h in s["hollows"]}
        keys = ("bytes_out", "bytes_in", "sent", "received", "peers_cpu_s")
        figures = {
            h["name"]: {
                key: max(0.0, h[key] - first[h["name"]][0][key])
                / max(1e-9, shell["at"] - first[h["name"]][1])
                for key in keys
            }
            for shell in b["shells"]
            for h in shell["hollows"]
            if h["name"] in first
        }
        voters = set(self._voters())
        for group, names in (("hollow", figures), ("not_voters", figures.keys() - voters)):
            out[group] = {
                key + ("" if key.endswith("_s") else "_per_s"): spread([figures[n][key] for n in names])
                for key in keys
            }
        span = statistics.fmean(y["at"] - x["at"] for x, y in zip(a["shells"], b["shells"], strict=True))
        harness = sum(y["harness_s"] - x["harness_s"] for x, y in zip(a["shells"], b["shells"], strict=True))
        spent = sum(y["cpu_s"] - x["cpu_s"] for x, y in zip(a["shells"], b["shells"], strict=True)) - harness
        hollows = sum(len(x["hollows"]) for x in b["shells"])
        out |= {
            "seconds": round(span, 2),
            "hollows": hollows,
            "harness_s": round(harness, 3),
            "cpu_share": spent / span / hollows,
            "rss_mb": sum(x["rss_kb"] for x in b["shells"]) / 1024 / hollows
            - self.result["base_mb"] * len(b["shells"]) / hollows,
            "state_bytes": spread([h["state_bytes"] for s in b["shells"] for h in s["hollows"]]),
            "status_bytes": spread([h["status"] for s in b["shells"] for h in s["hollows"]]),
            "beat_ms": spread([1000 * t for s in b["shells"] for h in s["hollows"] for t in h["beats"]]),
            "was_late": sum(h["late"] for s in b["shells"] for h in s["hollows"])
            - sum(h["late"] for s in a["shells"] for h in s["hollows"]),
            "deaths": sum(h["deaths"] for s in b["shells"] for h in s["hollows"]),
            "rejected": sum(h["rejected"] for s in b["shells"] for h in s["hollows"]),
        }
        if b["reals"]:
            wall = b["at"] - a["at"]
            out["real"] = {
                key + ("" if key.endswith("_s") else "_per_s"): spread(
                    [(y[key] - x[key]) / wall for x, y in zip(a["reals"], b["reals"], strict=True)]
                )
                for key in ("bytes_out", "bytes_in", "sent", "received", "peers_cpu_s", "cpu_s")
            }
            out["real"]["rss_mb"] = spread([y["rss_kb"] / 1024 for y in b["reals"]])
        return out

    # ---- faults
    def struck(self, kind: str) -> list[str]:
        names = [n for n in self.places if not n.startswith("real")]
        if kind == "region":
            return [n for n in names if self.zones[n].startswith("region0/")]
        if kind == "zone":
            return [n for n in names if self.zones[n] == self.zones[names[0]]]
        count = max(1, len(names) // PARTS[kind])
        return names[-count:] if kind == "rack" else self.rng.sample(names, count)

    async def _fault(self, kind: str) -> dict[str, Any]:
        """One fault and its end; the bytes beyond what the rest would have sent in that time."""
        struck, before = self.struck(kind), await self._marks()
        if kind == "restart":
            await self._ask("restart", names=struck, down=DOWN_S)
            await self._wait(DOWN_S)
        else:
            inside = [[h, int(p)] for h, p in (self.places[n].split(":") for n in struck)]
            await self._ask("cut", inside=inside, on=True)
            await self._wait(self.spec.lasts)
        during = await self._state()
        if kind != "restart":
            await self._ask("cut", inside=inside, on=False)
        healed = await self._whole(self.spec.heal_s)
        after = await self._marks()
        moved, span = {}, after["at"] - before["at"]
        for key, rate in (("bytes_out", "bytes_out_per_s"), ("sent", "sent_per_s")):
            total = {h["name"]: h[key] for s in before["shells"] for h in s["hollows"]}
            now = {h["name"]: h[key] for s in after["shells"] for h in s["hollows"]}
            told = sum(now[n] - (total[n] if now[n] >= total[n] else 0) for n in now if n in total)
            usual = self.result["rest"]["hollow"][rate]["mean"] * span * self.spec.pace * len(now)
            moved |= {key: told, f"{key}_beyond_rest": round(told - usual)}
        return {
            "kind": kind,
            "struck": len(struck),
            "least_alive": during["least"],
            "whole_after_s": healed["all_s"],
            "waited_s": healed["waited_s"],
            "whole": healed["whole"],
            "late_s": max(during["late_s"], healed["late_s"]),
        } | moved

    # ---- changes
    async def _changes(self, tell: Tell) -> None:
        """All workers read a changed file, again and again: one tenant's quota differs."""
        s, told = self.spec, []
        self.result["changes"] = told
        for n in range(1, s.changes + 1):
            quota, began = 1000.0 + n, time.monotonic()
            await self._ask("template", text=self._template(quota))
            took = await self._ask("take", quota=quota, within=60.0)
            each = {
                key: [1000 * t for x in took for t in x[key]] for key in ("held_s", "cpu_s", "in_force_s")
            }
            told.append(
                {
                    "all_s": round((time.monotonic() - began) * s.pace, 2),
                    "missed": sum(x["missed"] for x in took),
                    "reached": len(each["in_force_s"]),
                    "held_ms": spread(each["held_s"]),
                    "cpu_ms": spread(each["cpu_s"]),
                    "in_force_ms": spread(each["in_force_s"]),
                }
            )
            if n < s.changes:
                await self._wait(1.0)

    # ---- what a reader must know
    def _judge(self) -> None:
        r, s = self.result, self.spec
        rest = r["rest"]
        if r["join"]["all_s"] is None:
            self.notes.append(
                f"not all knew all within {s.join_s:g} s: the half of them knew "
                f"{r['join']['p50']:g} of {s.members - 1} at most, one only "
                f"{r['join']['least']}"
            )
        r["trusted"] = not late(rest)
        if not r["trusted"]:
            self.notes.append(
                f"the machine did not bear this size at pace {s.pace:g}: hollow workers were "
                f"late {rest['was_late']} times at rest; figures count what they did get done"
            )
        if r["at_end"]["faults"]:
            self.notes.append(
                "faults told by workers: "
                + "; ".join(f"{n} times {what}" for what, n in sorted(r["at_end"]["faults"].items())[:5])
            )
        for f in r["faults"]:
            if f["whole_after_s"] is None:
                self.notes.append(
                    f"{f['kind']}: not as before within {s.heal_s:g} s: {f['whole']} of "
                    f"{s.members - s.real} knew all"
                )
        if r.get("changes"):
            self.notes.append("no mechanism brings a change to all: each read its whole file, as by SIGHUP")


def late(rest: dict[str, Any]) -> bool:
    """Whether the machine kept workers waiting so often that their figures are not to be trusted."""
    return rest["was_late"] > LATE_PART * rest["hollows"] * rest["seconds"] / BEAT_S


def checked(spec: Spec, root: Path, tell: Tell) -> dict[str, Any]:
    """As many hollow as real workers in one group, and by how much the hollow ones are out."""
    run = Scale(replace(spec, uses=0.0, faults=(), changes=0, pace=1.0), root).run(tell)
    if "rest" not in run:
        return run
    rest = run["rest"]
    # Voters have more to do, and are hollow: what is theirs is left out.
    plain = rest["not_voters"]
    pairs = {key: (plain[key]["p50"], rest["real"][key]["p50"]) for key in plain}
    own = rest["cpu_share"] - rest["hollow"]["peers_cpu_s"]["mean"]
    pairs["cpu_share"] = own + plain["peers_cpu_s"]["p50"], rest["real"]["cpu_s"]["p50"]
    run["check_valid"] = not late(rest) and run["join"]["all_s"] is not None
    if not run["check_valid"]:
        run["notes"].append(
            "no check: hollow workers were late, or not all knew all; run it on a machine that has less to do"
        )
    run["check"] = {
        key: {
            "hollow": a,
            "real": b,
            "factor": b / a if a else None,
            "within": a > 0 and abs(b / a - 1) <= 0.15,
        }
        for key, (a, b) in pairs.items()
    }
    return run
