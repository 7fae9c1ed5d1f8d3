"""Logging with structlog: one JSON object per line on standard error."""

import logging
import os
import stat

import structlog


class LogSink:
    """Log output to a file descriptor; lines that cannot be written are dropped and counted.

    A stalled log reader must not block the worker, so a pipe is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped_lines = 0
        # A terminal is left alone: its blocking mode is shared by all programs that use it.
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes `line`, or counts it as dropped if that fails."""
        try:
            os.write(self._descriptor, line.encode())
        except OSError:  # the pipe is full, or its reading end is closed
            self.dropped_lines += 1

    def flush(self) -> None:
        """Does nothing, since lines are not buffered."""


def start_log(sink: LogSink) -> structlog.typing.FilteringBoundLogger:
    """Configures structlog for this process to write to `sink`, and returns the logger.

    Events below level INFO are discarded.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sink),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    log: structlog.typing.FilteringBoundLogger = structlog.get_logger()
    return log
