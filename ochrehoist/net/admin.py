"""The console's socket: a line in, a line of JSON out. On loopback or a Unix path; off on the platform."""

import json
import os
import socket
from collections.abc import Callable
from typing import Any

from ochrehoist.net.listener import Service
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import Stream

PATIENCE = 5.0  # s for a command
MAX_LINE = 1024
Address = tuple[str, int] | str


class Admin(Service):
    """`commands` are looked up by name; each gives what is said back."""

    def __init__(self, loop: Loop, address: Address, commands: dict[str, Callable[[], dict]],
                 log: Any) -> None:
        self.address, self.commands = address, commands
        super().__init__(loop, address, log)

    def serve(self, stream: Stream) -> None:
        while True:
            name = stream.take_line(MAX_LINE, PATIENCE).decode("latin-1").strip()
            command = self.commands.get(name)
            said = command() if command else {"error": f"unknown command {name!r}",
                                              "commands": sorted(self.commands)}
            stream.write(json.dumps(said).encode() + b"\n")

    def close(self) -> None:
        self.listening.stop()
        if isinstance(self.address, str):
            os.unlink(self.address)


def ask(address: Address, command: str, timeout: float = 5.0) -> dict:
    """The console's side: one command, one answer. OSError or ValueError where there is none."""
    family = socket.AF_UNIX if isinstance(address, str) else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as sock:
        sock.settimeout(timeout)
        sock.connect(address)
        sock.sendall(command.encode() + b"\n")
        with sock.makefile("rb") as lines:
            line = lines.readline()
    if not line:
        raise ValueError("the worker closed the connection")
    return json.loads(line)
