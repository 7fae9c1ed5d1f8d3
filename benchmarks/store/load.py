"""What the store costs: a filing's latency, filings a second, CPings beside them, and a long start.

Each load is measured with the store and without, in one run, in alternation.
"""

import argparse
import tempfile
import threading
import time
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.shared.process_usage import memory_usage
from benchmarks.shared.samples import MEDIAN, P99, percentile_ms
from benchmarks.shared.stand_ins import InstantServer, WorkerProcess, long_window_settings
from benchmarks.shared.workers import large_machine_settings
from ochrehoist.core.request import RequestReference
from ochrehoist.store import files
from ochrehoist.store.database import create_store
from ochrehoist.store.operations import PutIntent, PutResult
from ochrehoist.store.records import IntentRecord, ResultRecord, encode_key, encode_record
from ochrehoist.store.store_repair import open_store
from ochrehoist.store.timestamps import current_timestamp

WINDOW_NS = 900 * 10**9
FILINGS_ON_RECORD = 100_000
FILINGS_A_GROUP = 32  # committed at once by the store alone
FILING_BODY = b"doc" * 100
RESULT_BODY = bytes(300)
REQUEST_DIGEST = bytes(32)
CPING_INTERVAL_S = 0.02  # what was never served is read at 100 a second
HTTP_OK = 200


@dataclass(frozen=True)
class Load:
    """So many clients that file at `filings_per_s` together, or as fast as they are answered."""

    title: str
    clients: int
    filings_per_s: float | None


LOADS = (Load("200 filings/s", 8, 200), Load("as many as come", 24, None))


@dataclass
class LoadFigures:
    """Latencies in seconds of filings that were served, and of CPings beside them."""

    duration_s: float
    filing_s: list[float] = field(default_factory=list)
    cping_s: list[float] = field(default_factory=list)

    @property
    def filings_per_s(self) -> float:
        """Filings served a second."""
        return len(self.filing_s) / self.duration_s


@dataclass(frozen=True)
class StartFigures:
    """Seconds from the start of the process until it answers, and its memory then in MB."""

    ready_s: float
    memory_mb: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("seconds", nargs="?", type=float, default=8.0, help="of each load")


def run(arguments: argparse.Namespace) -> int:
    """Measure and print the loads, the store alone, and the starts."""
    for load in LOADS:
        for with_store in (False, True):
            print_load(load, with_store, measured_load(load, with_store, arguments.seconds))
    print(f"the store alone: {store_filings_per_s(arguments.seconds):.0f} filings begun and ended a second")
    for count in (0, FILINGS_ON_RECORD):
        start = measured_start(count)
        print(f"{count:6} filings on record: ready in {start.ready_s:.2f} s, {start.memory_mb:.0f} MB")
    return 0


def measured_load(load: Load, with_store: bool, duration_s: float) -> LoadFigures:
    """Put one worker under a load for some time."""
    figures = LoadFigures(duration_s)
    with tempfile.TemporaryDirectory(dir=".") as folder, closing(InstantServer()) as server:
        state = {"folder": str(Path(folder, "state"))} if with_store else None
        settings = large_machine_settings(long_window_settings())
        worker = WorkerProcess(thrift=False, ajp=True, site=settings, server=server, state=state)
        with closing(worker):
            end_s = time.monotonic() + duration_s
            threads = [
                threading.Thread(target=_file, args=(worker, load, number, end_s, figures))
                for number in range(load.clients)
            ]
            threads.append(threading.Thread(target=_cping, args=(worker, end_s, figures)))
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
    return figures


def store_filings_per_s(duration_s: float) -> float:
    """Filings begun and ended a second by the store alone, in groups as under load."""
    with tempfile.TemporaryDirectory(dir=".") as folder:
        opened = open_store(Path(folder), 0, WINDOW_NS, current_timestamp())
        count, began_s = 0, time.monotonic()
        while time.monotonic() - began_s < duration_s:
            group: list[PutIntent | PutResult] = []
            for _ in range(FILINGS_A_GROUP):
                count += 1
                record = _intent(f"k{count}", count)
                key = encode_key(record.idempotency_key)
                group.append(PutIntent(RequestReference(record.request_id, count), key, record))
                group.append(PutResult(key, ResultRecord("OK", True, RESULT_BODY)))
            opened.database.commit(group)
            opened.database.checkpoint_if_due()
        rate = count / (time.monotonic() - began_s)
        opened.database.close()
        return rate


def measured_start(filings: int) -> StartFigures:
    """Start a worker on a store with so many filings on record."""
    with tempfile.TemporaryDirectory(dir=".") as folder:
        store_folder = Path(folder, "state")
        if filings:
            _write_store(store_folder, filings)
        began_s = time.monotonic()
        worker = WorkerProcess(
            thrift=False, ajp=True, site=long_window_settings(), state={"folder": str(store_folder)}
        )
        with closing(worker):
            worker.ajp_client().cping()
            ready_s = time.monotonic() - began_s
            return StartFigures(ready_s, memory_usage(worker.process.pid).resident_mb)


def print_load(load: Load, with_store: bool, figures: LoadFigures) -> None:
    """Print the line of one load."""
    store = "with the store" if with_store else "without       "
    filing_s, cping_s = figures.filing_s, figures.cping_s
    print(
        f"{load.title}, {store}: {figures.filings_per_s:6.0f} filings/s; filing p50 "
        f"{percentile_ms(filing_s, MEDIAN):6.2f} p99 {percentile_ms(filing_s, P99):6.2f} ms; CPing p50 "
        f"{percentile_ms(cping_s, MEDIAN):5.2f} p99 {percentile_ms(cping_s, P99):5.2f} ms",
        flush=True,
    )


def _file(worker: WorkerProcess, load: Load, client_number: int, end_s: float, figures: LoadFigures) -> None:
    """File with new idempotency keys, one after the other, until the time is up."""
    client, number = worker.ajp_client(), 0
    interval_s = load.clients / load.filings_per_s if load.filings_per_s else 0.0
    while (began_s := time.monotonic()) < end_s:
        number += 1
        headers = {"Idempotency-Key": f"{client_number}.{number}", "X-Tenant": "acme"}
        status = client.call("POST", "/filings", headers, FILING_BODY)[0]
        latency_s = time.monotonic() - began_s
        if status == HTTP_OK:
            figures.filing_s.append(latency_s)
        time.sleep(max(0.0, interval_s - latency_s))


def _cping(worker: WorkerProcess, end_s: float, figures: LoadFigures) -> None:
    client = worker.ajp_client()
    while (began_s := time.monotonic()) < end_s:
        client.cping()
        figures.cping_s.append(time.monotonic() - began_s)
        time.sleep(CPING_INTERVAL_S)


def _intent(key: str, number: int) -> IntentRecord:
    idempotency_key = "acme", "filing", key
    now = current_timestamp()
    return IntentRecord(idempotency_key, f"r{number}", WINDOW_NS, WINDOW_NS, now, None, REQUEST_DIGEST)


def _write_store(folder: Path, filings: int) -> None:
    """Write a store in which so many filings began and ended."""
    folder.mkdir()
    open_store(folder, 0, WINDOW_NS, current_timestamp()).database.close()
    intents, results = [], []
    for number in range(filings):
        record = _intent(f"key {number:032d}", number)
        key = encode_key(record.idempotency_key)
        intents.append(record)
        results.append((key, encode_record(key, ResultRecord("OK", True, RESULT_BODY))))
    create_store(folder / files.store_file_name(), 1, intents, results, {})
