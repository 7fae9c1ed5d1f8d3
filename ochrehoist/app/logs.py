"""The log: JSON lines on standard error, by structlog."""

import logging
import os
import stat

import structlog


class LogSink:
    """Standard error. A log reader that stalls must not hold up the worker: its lines are dropped.

    `dropped` counts them.
    """

    def __init__(self, fd: int) -> None:
        self.dropped = 0
        self._fd = fd
        # Never on a terminal: there the mode would be every program's.
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)

    def write(self, line: str) -> None:
        """Writes the line, or drops it."""
        try:
            os.write(self._fd, line.encode())
        except OSError:  # full, or nobody reads any more
            self.dropped += 1

    def flush(self) -> None:
        """Nothing is held back here: each line is written at once."""


def start_log(sink: LogSink) -> structlog.typing.FilteringBoundLogger:
    """Configures structlog for the process: JSON lines to the sink, from level info on."""
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
