"""Settings of an appliance as in deploy/ajp.toml, and stand-ins for the web server and the server below."""

import copy
import threading
import time
import tomllib
from collections.abc import Callable
from typing import Any

from ochrehoist.lab.toml import toml_file
from review.support_2.case import ROOT, Case
from tests.stand_ins.ajp_client import AjpClient, AjpResponse
from tests.stand_ins.ajp_server import AjpServer, ReceivedRequest

EXAMPLE = tomllib.loads((ROOT / "deploy" / "ajp.toml").read_text())


def settings(name: str, ajp: int, admin: int, server: str, **more: Any) -> dict[str, Any]:
    """The file deploy/ajp.toml with these ports; `more` are further tables."""
    file = copy.deepcopy(EXAMPLE) | {"name": name, "admin": f"127.0.0.1:{admin}"}
    del file["console"]
    file["ajp"]["listen"] = f"127.0.0.1:{ajp}"
    file["ajp"]["servers"][0] |= {"name": "register-db", "address": server}
    return file | more


def text(file: dict[str, Any]) -> str:
    """The text of a file."""
    return toml_file(file)


class Server(AjpServer):
    """A sound server: answers each request after a time, and keeps a record of what it ran.

    `runs` holds one tuple for each request: its key or URI, when it came and when it was answered.
    """

    def __init__(self, case: Case, header: bytes, after: Callable[[str], float] = lambda _: 0.05) -> None:
        self.case, self.header, self.after = case, header, after
        self.runs: list[dict[str, Any]] = []
        super().__init__()
        threading.Thread(target=self._take, daemon=True).start()

    def _take(self) -> None:
        while True:
            request = self.received.get()
            threading.Thread(target=self._answer, args=(request,), daemon=True).start()

    def _answer(self, request: ReceivedRequest) -> None:
        name = self.name_of(request.packet)
        run = {"name": name, "from": time.monotonic(), "to": None, "number": len(self.runs) + 1}
        self.runs.append(run)
        self.case.note(f"server: run {run['number']} begins: {name}")
        time.sleep(self.after(name))
        run["to"] = time.monotonic()
        self.case.note(f"server: run {run['number']} ends: {name}")
        try:
            request.respond(data=f"run {run['number']}".encode())
        except OSError:
            request.respond.done.set()

    def name_of(self, packet: bytes) -> str:
        """The value of the header that names a request."""
        at = packet.find(self.header + b"\0")
        if at < 0:
            return "?"
        at += len(self.header) + 1
        size = int.from_bytes(packet[at : at + 2], "big")
        return packet[at + 2 : at + 2 + size].decode()


def call(case: Case, port: int, who: str, *args: Any, **how: Any) -> AjpResponse | None:
    """One request on a connection of its own; None if the connection ended without a whole answer."""
    shown = {k: f"{len(v)} bytes" if isinstance(v, bytes) and len(v) > 99 else v for k, v in how.items()}
    case.note(f"client {who}: sends {args} {shown}")
    client = AjpClient(("127.0.0.1", port))
    try:
        answer = client.call(*args, **how)
    except (OSError, EOFError) as error:
        case.note(f"client {who}: no answer, {error!r}")
        return None
    finally:
        client.close()
    case.note(f"client {who}: got {answer.status} {answer.body!r}")
    return answer
