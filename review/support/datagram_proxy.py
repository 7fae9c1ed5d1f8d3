"""A proxy for the datagrams between two workers: it delays each by a fixed time."""

import heapq
import itertools
import select
import socket
import threading
import time

Address = tuple[str, int]


class DatagramProxy:
    """Stands between two workers `one` and `two`, each of which knows the other by an address of the proxy.

    Attributes:
        two_for_one: the address by which `one` reaches `two`.
        one_for_two: the address by which `two` reaches `one`.
    """

    def __init__(self, one: str, two: str, delay_s: float) -> None:
        self.delay_s = delay_s
        self._facing_one, self._facing_two = self._socket(), self._socket()
        self.two_for_one = self._text(self._facing_one)
        self.one_for_two = self._text(self._facing_two)
        self._addresses = {self._facing_one: self._address(one), self._facing_two: self._address(two)}
        self._others = {self._facing_one: self._facing_two, self._facing_two: self._facing_one}
        threading.Thread(target=self._run, daemon=True).start()

    @staticmethod
    def _socket() -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        return sock

    @staticmethod
    def _text(sock: socket.socket) -> str:
        host, port = sock.getsockname()
        return f"{host}:{port}"

    @staticmethod
    def _address(text: str) -> Address:
        host, _, port = text.partition(":")
        return host, int(port)

    def _run(self) -> None:
        waiting: list[tuple[float, int, socket.socket, bytes]] = []
        numbers = itertools.count()
        while True:
            timeout_s = max(0.0, waiting[0][0] - time.monotonic()) if waiting else None
            for sock in select.select(list(self._others), [], [], timeout_s)[0]:
                data = sock.recv(65536)
                due_s = time.monotonic() + self.delay_s
                heapq.heappush(waiting, (due_s, next(numbers), self._others[sock], data))
            while waiting and waiting[0][0] <= time.monotonic():
                _, _, sock, data = heapq.heappop(waiting)
                sock.sendto(data, self._addresses[sock])
