"""The log: one JSON object a line on standard error, by structlog."""

import logging
import os
import stat

import structlog


class LogSink:
    """Writes lines to a descriptor. Lines that a stalled reader does not take are dropped and counted.

    A log reader must not hold up the worker, so a pipe is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped_lines = 0
        # Not a terminal: there the mode would be that of all programs.
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes a line, or counts it as dropped."""
        try:
            os.write(self._descriptor, line.encode())
        except OSError:  # the pipe is full, or nobody reads from it
            self.dropped_lines += 1

    def flush(self) -> None:
        """Does nothing: each line is written at once."""


def start_log(sink: LogSink) -> structlog.typing.FilteringBoundLogger:
    """Configures structlog for this process to write to `sink`, from level INFO up."""
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
