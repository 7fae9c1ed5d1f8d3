"""Goodput of the first seconds after a restart: with what was learned before, and with nothing.

`python -m benchmarks.warm_start [ROUNDS]`: a worker under one and a half times what its cores can do, on a
kernel that this program emulates (two cores shared by all that runs, and slower the more there is), is
killed after 12 s and started again. A read counts that is answered within its aim. By turns: a store as it
was left, and a store from which what was learned was taken out; the steady state before the kill is the
measure for both.
"""

import argparse
import base64
import heapq
import json
import queue
import random
import shutil
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.append(str(Path(__file__).parent.parent))

from ochrehoist.store import files  # noqa: E402
from ochrehoist.store.database import LEARNED_STATE_NAME, Database  # noqa: E402
from tests.stand_ins.moving_kernel import KernelAddress  # noqa: E402
from tests.support.environment import MS  # noqa: E402
from tests.support.site_settings import site_settings  # noqa: E402
from tests.support.worker_process import WorkerProcess  # noqa: E402

CORES, CROWD, WORK, OVERLOAD = 2, 10, 0.020, 1.5
SENDERS, STEADY, FIRST = 3, 12.0, 10.0
SPREAD = {"small": 0.3, "large": 4.0}  # work by class, in shares of WORK; a worker is not told


class Cores:
    """A kernel whose runs share its cores: each new one beyond the cores slows all."""

    def __init__(self, seed):
        self.random, self.lock = random.Random(seed), threading.Condition()
        self.notices, self.known, self.runs, self.out = [], set(), [], None
        self.opened, self.notices_read, self.ended = queue.Queue(), 0, False
        self.clock, self.at_time = 0.0, time.monotonic()  # work done for each run so far
        self.at = KernelAddress(self)
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def address(self):
        return self.at.address

    def _speed(self):
        n = len(self.runs)
        return 0.0 if not n else min(1.0, CORES / n) / (1 + max(0, n - CORES) / CROWD)

    def _advance(self):
        now = time.monotonic()
        self.clock += (now - self.at_time) * self._speed()
        self.at_time = now

    def fresh(self):
        """A new process: its notices are numbered from 1, and nothing runs."""
        with self.lock:
            self.notices, self.runs, self.known, self.out = [], [], set(), None

    def handle(self, sock, m):
        with self.lock:
            self._advance()
            if m["cmd"] == "OPEN":
                self.out = sock
                self._say(cmd="BOOTED", result="WARM", elapsed_ms=60_000)
                for notice in self.notices[m["offset"] :]:
                    self._say(**notice)
                self.opened.put(m["offset"])
            elif m["cmd"] == "SYSINFO":
                self._say(
                    cmd="INFO",
                    token=m["token"],
                    load=[min(1.0, len(self.runs) / CORES), float(len(self.runs))],
                )
            elif m["req"] not in self.known:
                self.known.add(m["req"])
                work = WORK * SPREAD[m["method"]] * self.random.expovariate(1.0)
                heapq.heappush(self.runs, (self.clock + work, m["req"], base64.b64decode(m["payload"])))
                self.lock.notify()

    def _say(self, **notice):
        try:
            self.out.sendall(json.dumps(notice).encode() + b"\n")
        except (OSError, AttributeError):
            pass

    def _run(self):
        with self.lock:
            while not self.ended:
                self._advance()
                while self.runs and self.runs[0][0] <= self.clock:
                    _, rid, body = heapq.heappop(self.runs)
                    self.notices.append(
                        {
                            "cmd": "REAP",
                            "offset": len(self.notices) + 1,
                            "req": rid,
                            "result": "OK",
                            "elapsed_ms": 20,
                            "payload": base64.b64encode(body).decode(),
                        }
                    )
                    self._say(**self.notices[-1])
                self.lock.wait((self.runs[0][0] - self.clock) / self._speed() if self.runs else None)

    def close(self):
        with self.lock:
            self.ended = True
            self.lock.notify()
        self.at.close()


def site():
    base = site_settings()
    base["Classes"] = [
        {"Name": "small", "Slo": 200 * MS, "Deadline": 800 * MS, "Gain": 1.0, "Repeat": "idempotent"},
        {"Name": "large", "Slo": 500 * MS, "Deadline": 1200 * MS, "Gain": 1.0, "Repeat": "idempotent"},
    ]
    base["FamilyInfo"] |= {"Cores": CORES, "HeapKb": 900_000.0}
    return base


class Timed(dict):
    """Answers by number, and when each came: they come in any order, and are read in that of the requests."""

    def __init__(self):
        super().__init__()
        self.at = {}

    def __setitem__(self, number, answer):
        self.at[number] = time.monotonic()
        super().__setitem__(number, answer)


class Sender(threading.Thread):
    """Sends at its rate whatever comes back; counts what is answered within its aim."""

    def __init__(self, program, seed, rate, seconds):
        super().__init__(daemon=True)
        self.router, self.random = program.thrift_router(), random.Random(seed)
        self.rate, self.seconds, self.good, self.sent = rate, seconds, 0, 0
        self.router.replies = Timed()

    def run(self):
        open_, began = {}, time.monotonic()
        reader = threading.Thread(target=self._read, args=(open_,), daemon=True)
        reader.start()
        due = began
        while due < began + self.seconds:
            time.sleep(max(0.0, due - time.monotonic()))
            method = "large" if self.random.random() < 0.25 else "small"
            seqid = self.router.sequence_id + 1
            open_[seqid] = (time.monotonic(), 0.2 if method == "small" else 0.5)
            self.router.invoke(method, b"x", est=str(20 * SPREAD[method]))
            self.sent += 1
            due += self.random.expovariate(self.rate)
        time.sleep(1.3)
        self.router.close()

    def _read(self, open_):
        seqid = 0
        try:
            while True:
                seqid += 1
                while seqid not in open_:
                    time.sleep(0.001)
                kind = self.router.answer(seqid)[0]
                since, aim = open_.pop(seqid)
                self.good += kind == "Answer" and self.router.replies.at[seqid] - since <= aim
        except (OSError, EOFError):
            pass


def goodput(program, seed, seconds):
    mean = WORK * (0.75 * SPREAD["small"] + 0.25 * SPREAD["large"])
    rate = OVERLOAD * CORES / mean / SENDERS
    senders = [Sender(program, seed * 10 + n, rate, seconds) for n in range(SENDERS)]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    return sum(s.good for s in senders) / sum(s.sent for s in senders)


def round_of(seed, keep):
    folder, cores = Path(tempfile.mkdtemp(dir=".")), Cores(seed)
    try:
        how = {
            "thrift": True,
            "ajp": True,
            "site": site(),
            "kernel": cores,
            "rules": [],
            "state": {"folder": str(folder / "state"), "learned_every_s": 1},
        }
        first = WorkerProcess(**how)
        steady = goodput(first, seed, STEADY)
        first.process.kill()
        first.close()
        if not keep:
            db = Database(folder / "state" / files.store_file_name())
            db.connection.execute("DELETE FROM named WHERE name = ?", (LEARNED_STATE_NAME,))
            db.close()
        cores.fresh()
        second = WorkerProcess(**how)
        after = goodput(second, seed + 1000, FIRST)
        second.close()
        return steady, after
    finally:
        cores.close()
        shutil.rmtree(folder)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("rounds", nargs="?", type=int, default=5)
    given = parser.parse_args()
    steady, warm, cold = [], [], []
    for seed in range(given.rounds):
        for keep, into in ((True, warm), (False, cold)):
            before, after = round_of(seed, keep)
            steady.append(before)
            into.append(after)
            print(
                f"round {seed}: steady {before:.3f}, first {FIRST:.0f} s "
                f"{'warm' if keep else 'from nothing'} {after:.3f}",
                flush=True,
            )
    mean = {name: sum(v) / len(v) for name, v in (("steady", steady), ("warm", warm), ("nothing", cold))}
    lost = mean["steady"] - mean["nothing"]
    print(
        "goodput: "
        + ", ".join(f"{name} {value:.3f}" for name, value in mean.items())
        + "; "
        + (
            f"{(mean['warm'] - mean['nothing']) / lost:.0%} of the loss regained"
            if lost > 0.005
            else "no loss to regain"
        )
    )


if __name__ == "__main__":
    main()
