"""An appliance under measurement: its configuration file, its process, and changes of its configuration."""

import http.client
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.shared.process_usage import MemoryUsage, memory_usage, reset_peak_memory
from benchmarks.shared.stand_ins import Address, AjpClient
from benchmarks.shared.workers import large_machine_settings
from ochrehoist.lab.toml import toml

READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.01
IN_FORCE_TIMEOUT_S = 60.0
PROBE_INTERVAL_S = 0.005  # between two questions whether a change is in force
STATUS_TIMEOUT_S = 5.0
STABLE_ENTRIES = 3  # the first tenants and routes, which the client asks for, never change
TENANT_QUOTA_PER_S = 2000.0
HTTP_OK = 200


@dataclass(frozen=True)
class ProbeRequest:
    """A request that is served only once a change is in force."""

    tenant: str
    uri: str


@dataclass(frozen=True)
class ChangeInForce:
    """Seconds from the signal until a change was in force, and how late that may have been seen."""

    after_s: float
    uncertainty_s: float


class ConfigurationFile:
    """A configuration with so many tenants and routes, each a table as in deploy/, and changes of it."""

    def __init__(self, path: Path, tenants: int, routes: int, server_address: str) -> None:
        self.path = path
        self._rng = random.Random(tenants)
        self._change_count = 0
        self._top = {
            "name": "w1",
            "stop_ms": 2500,
            "limits": {"memory_mb": 192, "sockets": 512},
            "admin": "127.0.0.1:0",
        }
        self._front = {
            "listen": "127.0.0.1:0",
            "servers": [{"address": server_address, "reply_ms": 15_000}],
        }
        self._settings = large_machine_settings()
        del self._settings["Tenants"]
        self._tenant_fraction = 1 / tenants
        self._tenants = [self._tenant_table(f"tenant{number}") for number in range(tenants)]
        self._routes = [self._route_table(f"/svc{number}/*") for number in range(routes)]

    def change(self) -> ProbeRequest:
        """Replace one tenant or one route by another, in alternation; what is served only afterwards."""
        self._change_count += 1
        number = self._change_count
        if number % 2:
            self._tenants[self._changed_position(self._tenants)] = self._tenant_table(f"new{number}")
            return ProbeRequest(tenant=f"new{number}", uri="/svc0/x")
        self._routes[self._changed_position(self._routes)] = self._route_table(f"/new{number}/*")
        return ProbeRequest(tenant="tenant0", uri=f"/new{number}/x")

    def write(self) -> None:
        """Replace the file, as an operator does."""
        new = self.path.with_suffix(".new")
        new.write_text(self._text())
        new.replace(self.path)

    def _changed_position(self, tables: list[str]) -> int:
        """At random, none of the stable ones; the list grows where there are no others."""
        if len(tables) == STABLE_ENTRIES:
            tables.append("")
        return self._rng.randrange(STABLE_ENTRIES, len(tables))

    def _text(self) -> str:
        return "\n".join(
            [
                *self._lines(self._top),
                "[ajp]",
                *self._lines(self._front),
                "",
                *self._routes,
                "[settings]",
                *self._lines(self._settings),
                "",
                *self._tenants,
            ]
        )

    def _lines(self, values: dict[str, Any]) -> list[str]:
        return [f"{key} = {toml(value)}" for key, value in values.items()]

    def _tenant_table(self, name: str) -> str:
        return (
            f'[[settings.Tenants]]\nName = "{name}"\nQuotaPerS = {TENANT_QUOTA_PER_S}\n'
            f"Fraction = {self._tenant_fraction!r}\n"
        )

    def _route_table(self, uri: str) -> str:
        return f'[[ajp.rules]]\nuri = "{uri}"\nclass = "read"\n'


class Appliance:
    """The process of a tree on one configuration file."""

    def __init__(self, root: Path, file: ConfigurationFile) -> None:
        """Write the file and start the process; it may not be ready yet."""
        self._file = file
        self._listen: dict[str, Address] = {}
        self._events: Counter[str] = Counter()
        file.write()
        inherited = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "OCHREHOIST_"))}
        own = {"TMPDIR": str(file.path.parent), "OCHREHOIST_AJP": str(file.path)}
        self._started_s = time.monotonic()
        self._process = subprocess.Popen(
            [sys.executable, "-m", "ochrehoist"],
            cwd=root,
            stderr=subprocess.PIPE,
            text=True,
            env=inherited | own,
        )
        threading.Thread(target=self._read_log, daemon=True).start()

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def front_address(self) -> Address:
        """Where its AJP front listens; KeyError before it is ready."""
        host, port = self._listen["AjpFront"]
        return host, port

    @property
    def logged_events(self) -> dict[str, int]:
        """How often each event was logged so far."""
        return dict(self._events)

    def wait_until_ready(self) -> float | None:
        """Seconds from the start until `/status` says it is ready; None where it was not in time."""
        while time.monotonic() - self._started_s < READY_TIMEOUT_S and self._process.poll() is None:
            if "Operators" in self._listen and self._status()[0] == HTTP_OK:
                return time.monotonic() - self._started_s
            time.sleep(READY_POLL_S)
        return None

    def configuration_status(self) -> dict[str, Any]:
        """What `/status` says of the configuration; empty where it does not answer."""
        configuration: dict[str, Any] = self._status()[1].get("configuration", {})
        return configuration

    def take_memory(self) -> MemoryUsage:
        """Memory now, and its peak since the last call."""
        usage = memory_usage(self.pid)
        reset_peak_memory(self.pid)
        return usage

    def change(self, prober: "ChangeProber") -> ChangeInForce | None:
        """Change the file, send SIGHUP and wait; None where the change did not come into force in time."""
        request = self._file.change()
        self._file.write()
        began_s = time.monotonic()
        self._process.send_signal(signal.SIGHUP)
        return prober.wait_until_served(request, began_s)

    def close(self) -> None:
        """Kill the process."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()

    def _read_log(self) -> None:
        for line in self._process.stderr or ():
            entry = json.loads(line)
            self._events[entry["event"]] += 1
            if entry["event"] == "started":
                self._listen[entry["part"]] = entry["listen"]

    def _status(self) -> tuple[int, dict[str, Any]]:
        host, port = self._listen["Operators"]
        connection = http.client.HTTPConnection(host, port, timeout=STATUS_TIMEOUT_S)
        try:
            connection.request("GET", "/status")
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read())
        except OSError:
            return 0, {}
        finally:
            connection.close()


class ChangeProber:
    """Asks on one connection whether a change is in force."""

    def __init__(self, address: Address) -> None:
        self._client = AjpClient(address)

    def wait_until_served(self, request: ProbeRequest, began_s: float) -> ChangeInForce | None:
        """Ask until the request is served; None where it was not in time. `began_s` is monotonic."""
        last_asked_s = began_s
        while time.monotonic() - began_s < IN_FORCE_TIMEOUT_S:
            asked_s = time.monotonic()
            status = self._client.call("GET", request.uri, {"X-Tenant": request.tenant})[0]
            if status == HTTP_OK:
                now_s = time.monotonic()
                return ChangeInForce(now_s - began_s, now_s - last_asked_s)
            last_asked_s = asked_s
            time.sleep(PROBE_INTERVAL_S)
        return None
