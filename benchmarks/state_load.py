"""What the store costs: a filing's latency, filings a second, the loop's delay, and a start with many
filings.

`python -m benchmarks.state_load [SECONDS]`; each figure with the store and without, in one run, by turns.
"""

import argparse
import shutil
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.append(str(Path(__file__).parent.parent))

from ochrehoist.store import files  # noqa: E402
from ochrehoist.store.database import create_store  # noqa: E402
from ochrehoist.store.operations import PutIntent, PutResult  # noqa: E402
from ochrehoist.store.records import IntentRecord, ResultRecord, encode_key, encode_record  # noqa: E402
from ochrehoist.store.store_repair import open_store  # noqa: E402
from ochrehoist.store.timestamps import current_timestamp  # noqa: E402
from tests.stand_ins.ajp_server import InstantServer  # noqa: E402
from tests.support.site_settings import long_window_settings  # noqa: E402
from tests.support.worker_process import WorkerProcess  # noqa: E402

WINDOW = 900 * 10**9
FILED = 100_000


def share(values, part):
    return sorted(values)[min(len(values) - 1, int(len(values) * part))] * 1e3


def load(state, seconds, clients, rate=None):
    """Latencies (s) of filings and of CPings beside them, and filings a second."""
    folder = Path(tempfile.mkdtemp(dir="."))
    server = InstantServer()
    settings = long_window_settings()
    settings["FamilyInfo"] |= {"Cores": 16, "HeapKb": 90e6}
    program = WorkerProcess(
        thrift=False,
        ajp=True,
        site=settings,
        server=server,
        state={"folder": str(folder / "state")} if state else None,
    )
    until, took, pings, lock = time.monotonic() + seconds, [], [], threading.Lock()

    def file(number):
        client, n, mine = program.ajp_client(), 0, []
        while (began := time.monotonic()) < until:
            n += 1
            status, _, _ = client.call(
                "POST", "/filings", {"Idempotency-Key": f"{number}.{n}", "X-Tenant": "acme"}, b"doc" * 100
            )
            if status == 200:
                mine.append(time.monotonic() - began)
            if rate:
                time.sleep(max(0.0, clients / rate - (time.monotonic() - began)))
        with lock:
            took.extend(mine)

    def ping():
        client = program.ajp_client()
        while (began := time.monotonic()) < until:
            client.cping()
            pings.append(time.monotonic() - began)
            time.sleep(0.02)  # what was never served is read at 100 a second

    threads = [threading.Thread(target=file, args=(n,)) for n in range(clients)]
    threads.append(threading.Thread(target=ping))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    program.close()
    server.close()
    shutil.rmtree(folder)
    return took, pings, len(took) / seconds


def intent(key, number):
    token = "acme", "filing", key
    return IntentRecord(token, f"r{number}", WINDOW, WINDOW, current_timestamp(), None, bytes(32))


def raw(seconds):
    """Filings begun and ended a second by the store alone, in groups as under load."""
    folder = Path(tempfile.mkdtemp(dir="."))
    opened, n, began = open_store(folder, 0, WINDOW, current_timestamp()), 0, time.monotonic()
    while time.monotonic() - began < seconds:
        group = []
        for _ in range(32):
            n += 1
            record = IntentRecord(
                ("acme", "filing", f"k{n}"), f"r{n}", WINDOW, WINDOW, current_timestamp(), None, bytes(32)
            )
            key = encode_key(record.idempotency_key)
            group += [
                PutIntent(record.request_id, key, record),
                PutResult(key, ResultRecord("OK", True, bytes(300))),
            ]
        opened.database.commit(group)
        opened.database.checkpoint_if_due()
    rate = n / (time.monotonic() - began)
    opened.database.close()
    shutil.rmtree(folder)
    return rate


def start(count):
    """Seconds from the start of the process until it is ready, and what it then takes in memory (MB)."""
    folder = Path(tempfile.mkdtemp(dir="."))
    where, begun, ended = folder / "state", [], []
    if count:
        make_empty_store(where)
        for n in range(count):
            record = IntentRecord(
                ("acme", "filing", f"key {n:032d}"),
                f"r{n}",
                WINDOW,
                WINDOW,
                current_timestamp(),
                None,
                bytes(32),
            )
            key = encode_key(record.idempotency_key)
            begun.append(record)
            ended.append((key, encode_record(key, ResultRecord("OK", True, bytes(300)))))
        create_store(where / files.store_file_name(), 1, begun, ended, {})
    began = time.monotonic()
    program = WorkerProcess(thrift=False, ajp=True, site=long_window_settings(), state={"folder": str(where)})
    program.ajp_client().cping()
    took = time.monotonic() - began
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    memory = int(status.split("VmRSS:")[1].split()[0]) / 1024
    program.close()
    shutil.rmtree(folder)
    return took, memory


def make_empty_store(where):
    where.mkdir()
    open_store(where, 0, WINDOW, current_timestamp()).database.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seconds", nargs="?", type=float, default=8)
    given = parser.parse_args()
    for title, clients, rate in (("200 filings/s", 8, 200), ("as many as come", 24, None)):
        for state in (False, True):
            took, pings, done = load(state, given.seconds, clients, rate)
            with_it = "with the store" if state else "without       "
            print(
                f"{title}, {with_it}: {done:6.0f} filings/s; filing p50 "
                f"{share(took, 0.5):6.2f} p99 {share(took, 0.99):6.2f} ms; CPing beside p50 "
                f"{share(pings, 0.5):5.2f} p99 {share(pings, 0.99):5.2f} ms",
                flush=True,
            )
    print(f"the store alone: {raw(given.seconds):.0f} filings begun and ended a second")
    for count in (0, FILED):
        took, memory = start(count)
        print(f"{count:6} filings on record: ready in {took:.2f} s, {memory:.0f} MB")


if __name__ == "__main__":
    main()
