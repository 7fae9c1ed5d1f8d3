"""Supervision of the kernel link: while it is down, the worker is unhealthy and reloads its configuration."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ochrehoist.app.reload import ConfigReloader
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.kernel_link_monitor import KernelLinkMonitor
from ochrehoist.core.messages import KernelLinkChanged
from ochrehoist.net.kernel_link import KernelLink
from ochrehoist.net.loop import Loop

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Logger

LINK_CHECK_INTERVAL_S = 0.25


class KernelLinkSupervisor:
    """Reports to the core whether the kernel is reachable, and triggers a reload while it is not.

    The configuration file may contain a new address of the kernel.
    """

    def __init__(
        self, loop: Loop, core: CoreActor, kernel: KernelLink, reloader: ConfigReloader, log: Logger
    ) -> None:
        self._loop = loop
        self._core = core
        self._kernel = kernel
        self._reloader = reloader
        self._log = log
        self._monitor = KernelLinkMonitor()
        self._healthy = True

    def run(self) -> None:
        """Checks the link until another process has taken over; run as a task of the loop.

        A kernel that has not booted yet does not count as unreachable.
        """
        while self._core.forwarder is None:
            if self._kernel.has_booted:
                self._check_confined()
            self._loop.sleep(LINK_CHECK_INTERVAL_S)

    def _check_confined(self) -> None:
        try:
            self._check()
        except Exception:  # the next check must follow all the same
            self._log.exception("kernel_link_check_fault")

    def _check(self) -> None:
        connected = self._kernel.is_connected
        status = self._monitor.evaluate(time.monotonic(), connected, self._kernel.address)
        if status.healthy is not self._healthy:
            self._healthy = status.healthy
            self._report_change()
        if status.reload_due:
            self._reloader.reload_while_cut_off()

    def _report_change(self) -> None:
        self._core.post(KernelLinkChanged(self._healthy))
        if self._healthy:
            self._log.info("kernel_reachable", kernel=self._kernel.status_section())
        else:
            self._log.error("kernel_unreachable", kernel=self._kernel.status_section())
