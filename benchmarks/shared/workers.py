"""Workers under measurement, and clients that send them reads."""

from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import Any

from benchmarks.shared.revisions import ROOT
from benchmarks.shared.stand_ins import (
    InstantKernel,
    InstantServer,
    Settings,
    WorkerProcess,
    site_settings,
)

LARGE_MACHINE_CORES = 16
LARGE_MACHINE_HEAP_KB = 90e6
KEY_COUNT = 50  # routing keys that reads over Thrift come from
SERVED = ("Answer", 200)  # what a read is answered, over Thrift and AJP


class Front(StrEnum):
    """The two protocols by which requests come."""

    AJP = "ajp"
    THRIFT = "thrift"


def large_machine_settings(base: Settings | None = None, **family: Any) -> Settings:
    """Settings of a machine so large that only the worker itself limits what is served.

    `base`: the tests' settings where none are given. `family`: more fields of FamilyInfo.
    """
    settings = site_settings() if base is None else base
    settings["FamilyInfo"] |= {"Cores": LARGE_MACHINE_CORES, "HeapKb": LARGE_MACHINE_HEAP_KB} | family
    return settings


def equal_tenants(names: Iterable[str], quota_per_s: float) -> list[dict[str, Any]]:
    """The table of tenants in which each has the same quota and fraction."""
    listed = list(names)
    return [{"Name": name, "QuotaPerS": quota_per_s, "Fraction": 1 / len(listed)} for name in listed]


def start_instant_worker(front: Front, settings: Settings, root: Path = ROOT, **more: Any) -> WorkerProcess:
    """Start the program of a tree with one front, before servers that answer at once.

    `more`: further arguments of the tests' worker, as tables of the configuration.
    """
    return WorkerProcess(
        thrift=front is Front.THRIFT,
        ajp=front is Front.AJP,
        site=settings,
        server=InstantServer(),
        kernel=InstantKernel(b"a small page"),
        root=root,
        **more,
    )


class ReadClient:
    """A client that sends reads to one front of a worker, one after the other."""

    def __init__(self, worker: WorkerProcess, front: Front) -> None:
        """Open a connection."""
        self._front = front
        self._thrift = worker.thrift_router() if front is Front.THRIFT else None
        self._ajp = worker.ajp_client() if front is Front.AJP else None

    def read(self, number: int) -> None:
        """Send one read and wait for its answer; RuntimeError where it is not served."""
        answer: str | int | None = None
        if self._thrift is not None:
            answer = self._thrift.call(obj=f"{number % KEY_COUNT}")[0]
        elif self._ajp is not None:
            answer = self._ajp.call("GET", f"/reads/{number}")[0]
        if answer not in SERVED:
            message = f"read {number} was answered {answer}"
            raise RuntimeError(message)

    def read_many(self, count: int) -> None:
        """Send so many reads; RuntimeError where one is not served."""
        for number in range(count):
            self.read(number)

    def check_connection(self) -> None:
        """Let the worker take note of the connection: by a CPing over AJP, by two reads over Thrift."""
        if self._ajp is not None:
            self._ajp.cping()
        else:
            self.read_many(2)
