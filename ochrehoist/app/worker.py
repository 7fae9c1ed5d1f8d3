"""The life of one worker process: it starts, serves, may be replaced by the next process, and ends."""

import signal
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from ochrehoist.app.replacement import Replacement
from ochrehoist.app.worker_parts import WorkerParts
from ochrehoist.config import loader as configuration
from ochrehoist.config.schema import Config
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.errors import InvalidInputError
from ochrehoist.net.process_shutdown import ProcessShutdown

if TYPE_CHECKING:
    from ochrehoist.store.journal import Journal

MAX_RESTORE_WAIT_S = 3.0  # that clients wait for what was on record


class AddressUnavailableError(InvalidInputError):
    """An address of the configuration can't be bound."""

    def __init__(self, cause: OSError) -> None:
        super().__init__(f"setting listen, or an address of the console: {cause}")


class Worker:
    """One worker: the core, its fronts and executors, on one scheduler."""

    def __init__(self, config: Config, path: str | None = None) -> None:
        """Puts the parts together and binds all addresses.

        Args:
            config: what the worker is to be.
            path: of the file that the configuration is read from again.

        Raises:
            InvalidInputError: a setting can't be carried out; it names the key.
            OSError: an address can't be bound.
        """
        self._serving = False  # clients are taken
        self.parts = parts = WorkerParts(config, path, lambda: self._serving)
        self._shutdown = ProcessShutdown(
            parts.loop, parts.core, parts.fronts, config.shutdown_timeout_ms, parts.log
        )
        self._replacement: Replacement | None = None
        if config.handover_path:
            self._replacement = Replacement(parts, config.handover_path, self._take_over, self._be_replaced)
        parts.share_kernel(self._kernel_is_shared)

    def run(self) -> int:
        """Serves until it is told to leave or replaced; gives the exit code."""
        parts = self.parts
        self._register_signals()
        for task in parts.tasks:
            parts.loop.spawn(task)
        if self._replacement is None or not self._replacement.replaces_process:
            if parts.journal is None:
                self._serve()
            else:
                self._restore(parts.journal)
        self._announce_listeners()
        parts.loop.run()
        self._close()
        return 0

    def _register_signals(self) -> None:
        # SIGTERM and SIGHUP are meant for this program, whatever whoever started it does with them: nohup and
        # some supervisors leave SIGHUP ignored, and a worker deaf to it would serve an old configuration.
        loop = self.parts.loop
        loop.on_signal(signal.SIGTERM, self._shutdown.request)
        loop.on_signal(signal.SIGHUP, self.parts.reloading.request_reload)
        if signal.getsignal(signal.SIGINT) is not signal.SIG_IGN:  # ignored by a shell for background jobs
            loop.on_signal(signal.SIGINT, self._shutdown.request)

    def _announce_listeners(self) -> None:
        for listener in self.parts.listeners:
            address = listener.acceptor.address
            if listener is self.parts.operators and address not in self.parts.inherited_addresses:
                listener.acceptor.start()  # it says from the start that the worker is not ready
            self.parts.log.info("started", part=listener.LISTENER_NAME, listen=address)

    def _serve(self) -> None:
        """No other process decides: this one takes what comes."""
        parts = self.parts
        self._serving = True
        for listener in parts.listeners:
            listener.acceptor.start()
        if parts.membership:
            parts.loop.spawn(parts.membership.run)
        if parts.peers:
            parts.peers.start()
        if self._replacement:
            self._replacement.listen()

    def _restore(self, journal: "Journal") -> None:
        """Clients wait until what ran before is known, but not for long: reads need none of it."""

        def serve_once() -> None:
            if not self._serving:
                self._serve()

        journal.register_restored_listener(serve_once)
        self.parts.loop.call_later(MAX_RESTORE_WAIT_S, serve_once)
        journal.open()

    def _take_over(self) -> None:
        """The process before this one has left its state to it, or is gone."""
        self._serve()
        if self.parts.journal:
            self.parts.journal.open()

    def _be_replaced(
        self, addresses: Sequence[list[Any]], tell_open_connections: Callable[[Mapping[str, int]], None]
    ) -> None:
        """Another process decides now. Where it listens too, this one no longer does."""
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
        self._shutdown.retire(tell_open_connections)

    def _kernel_is_shared(self) -> bool:
        """Whether another process of this worker may run something at the kernel."""
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
    """Serves until it is told to leave; gives the exit code.

    Raises:
        InvalidInputError: the configuration can't be used; it names the key.
    """
    config = configuration.load(path)
    try:
        worker = Worker(config, path)
    except OSError as error:
        raise AddressUnavailableError(error) from None
    return worker.run()
