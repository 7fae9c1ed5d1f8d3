"""Life cycle of a worker process: start, service, replacement by a successor process, and shutdown."""

import signal
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from ochrehoist.app.essential_tasks import EssentialTasks
from ochrehoist.app.replacement import Replacement
from ochrehoist.app.worker_parts import WorkerParts
from ochrehoist.config import loader as configuration
from ochrehoist.config.schema import Config
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.errors import InvalidInputError
from ochrehoist.net.process_shutdown import ProcessShutdown

if TYPE_CHECKING:
    from ochrehoist.store.journal import Journal

EXIT_TASK_FAILED = 1
RESTORE_TIMEOUT_AFTER_START_S = 3.0  # after this time clients are accepted before recorded runs are known


class AddressUnavailableError(InvalidInputError):
    """Raised if an address in the configuration cannot be bound."""

    def __init__(self, cause: OSError) -> None:
        super().__init__(
            f"setting listen, or an address in the table console: cannot bind the address: {cause}"
        )


class Worker:
    """One worker: the core, its fronts and executors, on one event loop."""

    def __init__(self, config: Config, path: str | None = None) -> None:
        """Creates the parts and binds all addresses.

        Args:
            config: the configuration of the worker.
            path: path of the file from which the configuration is reloaded.

        Raises:
            InvalidInputError: a setting cannot be applied; the message names its key.
            OSError: an address cannot be bound.
        """
        self._serving = False  # whether the listeners accept clients
        self.parts = parts = WorkerParts(config, path, lambda: self._serving)
        self._shutdown = ProcessShutdown(
            parts.loop, parts.core, parts.fronts, config.shutdown_timeout_ms, parts.log
        )
        self._replacement: Replacement | None = None
        if config.handover_path:
            self._replacement = Replacement(
                parts, config.handover_path, self._on_take_over, self._on_replaced
            )
        parts.register_kernel_sharing(self._kernel_is_shared)
        self._tasks = EssentialTasks(parts.loop, parts.core, self._shutdown.end_at_once, parts.log)

    def run(self) -> int:
        """Serves until the process is told to stop or is replaced, and returns the exit code."""
        parts = self.parts
        self._register_signals()
        self._tasks.spawn_core()
        for task in parts.tasks:
            self._tasks.spawn(task)
        if self._replacement is None or not self._replacement.replaces_process:
            if parts.journal is None:
                self._serve()
            else:
                self._restore(parts.journal)
        self._announce_listeners()
        parts.loop.run()
        self._close()
        return EXIT_TASK_FAILED if self._tasks.failed else 0

    def _register_signals(self) -> None:
        # SIGTERM and SIGHUP are handled even if they were ignored by the parent process: nohup and some
        # supervisors leave SIGHUP ignored, and the worker would then go on serving an old configuration.
        loop = self.parts.loop
        loop.on_signal(signal.SIGTERM, self._shutdown.request)
        loop.on_signal(signal.SIGHUP, self.parts.reloader.request_reload)
        if signal.getsignal(signal.SIGINT) is not signal.SIG_IGN:  # shells ignore it for background jobs
            loop.on_signal(signal.SIGINT, self._shutdown.request)

    def _announce_listeners(self) -> None:
        for listener in self.parts.listeners:
            address = listener.acceptor.address
            if listener is self.parts.operator_server and address not in self.parts.inherited_addresses:
                listener.acceptor.start()  # /status reports "not ready" until the worker serves
            self.parts.log.info("started", part=listener.LISTENER_NAME, listen=address)

    def _serve(self) -> None:
        """Starts to accept clients and a successor process; called when no other process serves."""
        parts = self.parts
        self._serving = True
        for listener in parts.listeners:
            listener.acceptor.start()
        if parts.membership:
            self._tasks.spawn(parts.membership.run)
        if parts.peers:
            parts.peers.start()
        if self._replacement:
            self._replacement.listen()

    def _restore(self, journal: "Journal") -> None:
        """Opens the journal, and serves once earlier runs are restored or the time-out has passed.

        The wait is short because reads do not depend on restored runs.
        """

        def serve_unless_serving() -> None:
            if not self._serving:
                self._serve()

        journal.register_restored_listener(serve_unless_serving)
        self.parts.loop.call_later(RESTORE_TIMEOUT_AFTER_START_S, serve_unless_serving)
        journal.open()

    def _on_take_over(self) -> None:
        """Starts to serve after the predecessor has handed over its state or has ended."""
        self._serve()
        if self.parts.journal:
            self.parts.journal.open()

    def _on_replaced(
        self, addresses: Sequence[list[Any]], report_open_connections: Callable[[Mapping[str, int]], None]
    ) -> None:
        """Stops serving after the successor has taken over.

        Listeners whose address is in `addresses` are stopped, since the successor listens there too.
        """
        try:
            self._stop_parts(addresses)
        finally:  # whatever fails here, the process must end
            self._shutdown.retire(report_open_connections)

    def _stop_parts(self, addresses: Sequence[list[Any]]) -> None:
        """Stops what the successor does now."""
        parts = self.parts
        for listener in parts.listeners:
            if list(listener.acceptor.address) in addresses:
                listener.acceptor.stop(leave_backlog=True)
        if parts.membership:
            parts.membership.stop()
        if parts.peers:
            parts.peers.stop("replaced")
        if parts.journal:
            parts.journal.release()

    def _kernel_is_shared(self) -> bool:
        """Returns whether another process of this worker may have runs on the kernel."""
        if self.parts.core.forwarder:
            return True
        return self._replacement is not None and self._replacement.predecessor_present

    def _close(self) -> None:
        parts = self.parts
        if parts.peers:
            parts.peers.stop("ended")
        if self._replacement:
            self._replacement.close()
        parts.close()
        metrics = parts.core.metrics
        parts.log.info(
            "ended",
            served=metrics.total(RequestCounter.ANSWERED),
            refused=metrics.total(RequestCounter.REJECTED),
            failed=metrics.total(RequestCounter.FAILED),
        )


def serve(path: str | None) -> int:
    """Runs a worker until it is told to stop, and returns the exit code.

    Raises:
        InvalidInputError: the configuration is invalid; the message names the key.
    """
    config = configuration.load(path)
    try:
        worker = Worker(config, path)
    except OSError as error:
        raise AddressUnavailableError(error) from None
    return worker.run()
