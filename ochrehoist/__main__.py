"""The command line, and how the parts of one worker are put together."""

import logging
import signal
import sys
import time

import structlog

from ochrehoist import config as configuration
from ochrehoist.config import Config
from ochrehoist.core.owner import Owner
from ochrehoist.core.requests import Leaving
from ochrehoist.net.kernel import Kernel
from ochrehoist.net.loop import Loop, Signal
from ochrehoist.net.members import Members
from ochrehoist.net.thrift_front import ThriftFront
from ochrehoist.settings import BadInput

MS = 1_000_000
RESULT_SHARE = 0.25  # of the process memory, for the results of filings
RESERVED = 24  # descriptors for all that is no accepted connection
QUIET = 0.05  # s without a request in hand before a drained worker ends
END_EARLY = 0.06  # s before it would be killed


def start_log() -> structlog.stdlib.BoundLogger:
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso"),
                    structlog.processors.format_exc_info, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr), cache_logger_on_first_use=True)
    return structlog.get_logger()


class Worker:
    """One worker: the core, its fronts and executors, on one scheduler."""

    def __init__(self, config: Config) -> None:
        self.config, self.log = config, start_log().bind(name=config.name)
        self.loop = loop = Loop(self.log)
        self.owner = owner = Owner(
            config.settings, config.seed, Signal(loop), time.time_ns, self.log,
            int(config.memory_mb * 1e6 * RESULT_SHARE), lambda: self.kernel.measure())
        self.kernel = Kernel(loop, owner, config.kernel, config.gauges, self.log)
        self.front = ThriftFront(loop, owner, self.kernel, config.listen, config.sockets - RESERVED, self.log)
        self.members = Members(loop, owner, config.members, config.name, self.log)
        owner.listeners += [self.front, self.members]
        self.leaving_since: float | None = None

    def run(self) -> int:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.leave)
        for task in (self.owner.run, self.kernel.run, self.members.run):
            self.loop.spawn(task)
        host, port = self.front.listening.address
        self.log.info("started", listen=f"{host}:{port}")
        self.loop.run()
        self.log.info("ended", served=self.owner.served, refused=self.owner.refused, failed=self.owner.failed)
        return 0

    def leave(self) -> None:
        if self.leaving_since is None:
            self.leaving_since = time.monotonic()
            self.log.info("leaving", stop_ms=self.config.stop_ms, in_hand=self.owner.owed)
            self.owner.post(Leaving(self.config.stop_ms * MS))
            self.loop.spawn(self._drain)

    def _drain(self) -> None:
        """Answers all that was read, and ends as soon as no request can come any more."""
        stop = self.leaving_since + self.config.stop_ms / 1000 - END_EARLY
        # What comes later would not be run: from then on a refused connection tells as much.
        closing = min(self.leaving_since + self.config.settings.drain_grace / 1e9, stop - 0.3)
        self.loop.sleep(max(0.0, closing - time.monotonic()))
        self.front.listening.stop()
        quiet = 0.0
        while time.monotonic() < stop and quiet < QUIET:
            for connection in list(self.front.connections):
                if not connection.open:
                    connection.farewell()
            busy = self.owner.owed or self.owner.inbox or self.front.connections
            quiet = 0.0 if busy else quiet + 0.01
            self.loop.sleep(0.01)
        self.loop.stop()


def main(arguments: list[str]) -> int:
    try:
        config = configuration.load()
    except BadInput as error:
        print(f"ochrehoist: {error}", file=sys.stderr)
        return 2
    try:
        worker = Worker(config)
    except OSError as error:
        print(f"ochrehoist: setting listen: {error}", file=sys.stderr)
        return 2
    return worker.run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
