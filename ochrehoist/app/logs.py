"""The log: JSON lines on standard error, by structlog."""

import logging
import os
import stat

import structlog


class LogSink:
    """Standard error. A log reader that stalls must not hold up the worker: its lines are dropped."""

    def __init__(self, fd: int) -> None:
        self.fd, self.dropped = fd, 0
        # Never on a terminal: there the mode would be every program's.
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)

    def write(self, line: str) -> None:
        try:
            os.write(self.fd, line.encode())
        except OSError:  # full, or nobody reads any more
            self.dropped += 1

    def flush(self) -> None:
        pass


def start_log(sink: LogSink) -> structlog.typing.FilteringBoundLogger:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sink),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger()
