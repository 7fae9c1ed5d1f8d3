"""Loopback servers, and sockets that behave in ways a test needs."""

import contextlib
import socket
import threading
from typing import Any


class LoopbackServer:
    """A server on loopback; each connection gets a thread, in which `serve` talks to it."""

    def __init__(self, port: int = 0) -> None:
        self._listen(port)

    def _listen(self, port: int) -> None:
        self.sock = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.connections.append(sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve_until_error, args=(sock,), daemon=True).start()

    def _serve_until_error(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, EOFError, ValueError):
            self.serve(sock)

    def serve(self, sock: socket.socket) -> None:
        """Talks to one connection; runs in a thread of its own."""
        raise NotImplementedError

    def drop_connections(self) -> None:
        """Ends what is open now."""
        open_now, self.connections = self.connections, []  # the other side may connect again meanwhile
        for sock in open_now:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def refuse(self) -> None:
        """Refuses connections from now on; an accept that waits would else keep the port open."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def come_back(self) -> None:
        """Listens again on the port of before."""
        self._listen(int(self.address.split(":")[1]))

    def close(self) -> None:
        """Refuses connections and ends what is open."""
        self.refuse()
        self.drop_connections()


class ByteAtATimeSocket:
    """A socket that sends one byte at a time."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def sendall(self, data: bytes) -> None:
        """Sends the bytes one by one."""
        for n in range(len(data)):
            self.sock.sendall(data[n : n + 1])

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class RecordingSocket:
    """Takes what would be sent."""

    def __init__(self, sent: list[bytes]) -> None:
        self.sent = sent

    def sendall(self, data: bytes) -> None:
        """Keeps the data."""
        self.sent.append(data)


def read_exactly(sock: socket.socket, count: int) -> bytes:
    """So many bytes; EOFError where the connection ends before."""
    data = b""
    while len(data) < count:
        piece = sock.recv(count - len(data))
        if not piece:
            raise EOFError
        data += piece
    return data


def connection_end(sock: socket.socket) -> str:
    """How a connection ends for its peer, "reset" or "closed", once all that was sent on it is read."""
    try:
        while sock.recv(65536):
            pass
    except ConnectionResetError:
        return "reset"
    return "closed"
