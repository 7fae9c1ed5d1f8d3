"""A flood at admission, beside an earlier revision by turns: what a refusal costs in processor time, how long
checks and filings wait meanwhile, and how late the loop runs.

`python -m benchmarks.flood [REVISION] [--rounds N] [--seconds N] [--busy N]`. The worker has a processor of
its own, or shares it with N busy processes. Routers keep 32 reads open on each of 16 connections and send
the next as they are answered; beside them one asks for health and one files, 20 times a second each.
"""

import argparse
import json
import multiprocessing
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from instant import InstantKernel  # noqa: E402
from stand_ins import Program, Thrift, hasty  # noqa: E402

from benchmarks.read_cost import used  # noqa: E402
from ochrehoist.net import thrift  # noqa: E402

CONNECTIONS, OPEN = 16, 32
RUN_S = 0.1  # of each run, on two cores: hardly any of the flood can be run
ASIDE_S = 0.05  # between two checks, or two filings


def frame(seqid: int, number: int, method: str, token: str | None = None) -> bytes:
    values = {
        "method": method,
        "rid": f"{number:016x}",
        "t0": str(time.time_ns() // 1_000_000),
        "peer": "1",
        "acct": "acme",
        "est": "100.0",
        "mem": "20.0",
        "prio": "0.5",
        "obj": f"{number % 100:x}",
    }
    if token:
        values["token"] = token
        del values["obj"]
    packed = thrift.encode_string_map({k.encode(): v.encode() for k, v in values.items()})
    arguments = (
        thrift.encode_field(thrift.MAP, 1, packed)
        + thrift.encode_field(thrift.STRING, 2, thrift.encode_string(b"x"))
        + thrift.STRUCT_END
    )
    return thrift.encode_message(thrift.CALL, b"invoke", seqid, arguments)


def flooder(address, seconds: float, number: int, out) -> None:
    """Closed loop on some connections; what was answered, and how long answers took."""
    os.sched_setaffinity(0, set(range(2, os.cpu_count())))
    socks = [socket.create_connection(address) for _ in range(CONNECTIONS // 4)]
    buffers = [b""] * len(socks)
    sent: list[dict[int, float]] = [{} for _ in socks]
    seqs, count, took = [0] * len(socks), 0, []
    base = number << 40
    end = time.monotonic() + seconds
    for s in socks:
        s.setblocking(False)
    import select

    poll = select.poll()
    by_fd = {s.fileno(): n for n, s in enumerate(socks)}
    for s in socks:
        poll.register(s, select.POLLIN)

    def send(n: int, more: int) -> None:
        data = b""
        for _ in range(more):
            seqs[n] += 1
            base_number = base + (n << 32) + seqs[n]
            data += frame(seqs[n], base_number, "read")
            sent[n][seqs[n]] = time.monotonic()
        socks[n].setblocking(True)
        socks[n].sendall(data)
        socks[n].setblocking(False)

    for n in range(len(socks)):
        send(n, OPEN)
    while time.monotonic() < end:
        for fd, _ in poll.poll(100):
            n = by_fd[fd]
            data = socks[n].recv(1 << 16)
            if not data:
                raise SystemExit("a connection was closed")
            buffers[n] += data
            answered, buffer = 0, buffers[n]
            while len(buffer) >= 4 and len(buffer) >= 4 + (size := int.from_bytes(buffer[:4], "big")):
                m = thrift.parse_message(buffer[4 : 4 + size])
                took.append(time.monotonic() - sent[n].pop(m.seqid))
                buffer = buffer[4 + size :]
                answered += 1
            buffers[n] = buffer
            count += answered
            send(n, answered)
    out.put((count, took[:: max(1, len(took) // 2000)]))


def burner(seconds: float) -> None:
    os.sched_setaffinity(0, {0})
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        sum(range(10_000))


def aside(call, seconds: float, out: list) -> None:
    """One thing again and again, 20 times a second; how long each took, and what it gave."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        began = time.monotonic()
        gave = call()
        out.append((time.monotonic() - began, gave))
        time.sleep(ASIDE_S)


def play(root: Path, overload: dict | None, seconds: float, busy: int) -> dict:
    site = hasty()
    site["FamilyInfo"] |= {"Cores": 2, "HeapKb": 90e6}
    program = Program(site=site, kernel=InstantKernel(after=RUN_S), root=root, overload=overload, sockets=512)
    os.sched_setaffinity(program.process.pid, {0})
    try:
        address = tuple(program.at["ThriftFront"])
        out = multiprocessing.Queue()
        jobs = [
            multiprocessing.Process(target=flooder, args=(address, seconds, n + 1, out)) for n in range(4)
        ]
        jobs += [multiprocessing.Process(target=burner, args=(seconds + 1,)) for _ in range(busy)]
        checks, filings = [], []
        pinger, filer = program.thrift(), Thrift(address)
        numbers = iter(range(10**9))

        def file():
            number = next(numbers)
            return filer.call(method="filing", token=f"{number:032x}")[0]

        threads = [
            threading.Thread(target=aside, args=(pinger.ping, seconds, checks)),
            threading.Thread(target=aside, args=(file, seconds, filings)),
        ]
        cpu = used(program.process.pid)
        for job in (*jobs, *threads):
            job.start()
        results = [out.get() for _ in range(4)]
        for job in (*threads, *jobs):
            job.join()
        cpu = used(program.process.pid) - cpu
        status = json.loads(program.operator()[1])
        answered = sum(n for n, _ in results)
        waits = sorted(t for _, some in results for t in some)
        ping, filed = sorted(t for t, _ in checks), sorted(t for t, _ in filings)

        def at(values, q):
            return round(values[min(len(values) - 1, int(len(values) * q))] * 1000, 1) if values else None

        return {
            "answers_per_s": round(answered / seconds),
            "cpu_us_each": round(cpu / max(1, answered) * 1e6),
            "answer_p50_ms": at(waits, 0.5),
            "answer_p99_ms": at(waits, 0.99),
            "ping_p50_ms": at(ping, 0.5),
            "ping_p99_ms": at(ping, 0.99),
            "filing_p50_ms": at(filed, 0.5),
            "filings": len(filed),
            "filings_served": sum(gave == "Answer" for _, gave in filings),
            "loop": status.get("overload", {}).get("loop"),
            "served": status["served"],
            "rss_mb": round(
                int(Path(f"/proc/{program.process.pid}/statm").read_text().split()[1])
                * os.sysconf("SC_PAGE_SIZE")
                / 1e6,
                1,
            ),
        }
    finally:
        program.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("revision", nargs="?", default="8710529")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--busy", type=int, default=0, help="busy processes on the worker's processor")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        before = Path(folder, "before")
        subprocess.run(
            ["git", "worktree", "add", "-q", "--detach", str(before), args.revision], cwd=ROOT, check=True
        )
        try:
            costs = []
            for n in range(args.rounds):
                pair = {}
                for which in (("before", "now"), ("now", "before"))[n % 2]:
                    pair[which] = play(
                        before if which == "before" else ROOT,
                        None if which == "before" else {},
                        args.seconds,
                        args.busy,
                    )
                    print(which, json.dumps(pair[which]), flush=True)
                costs.append(pair["now"]["cpu_us_each"] / pair["before"]["cpu_us_each"])
            print(
                f"processor time of an answer, now/before: {statistics.median(costs):.2f} "
                f"({min(costs):.2f} to {max(costs):.2f})"
            )
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(before)], cwd=ROOT, check=True)


if __name__ == "__main__":
    main()
