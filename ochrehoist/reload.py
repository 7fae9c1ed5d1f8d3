"""The configuration read again while the worker runs: by order, or because the worker is cut off."""

import time
from collections.abc import Callable, Sequence
from typing import Any

from ochrehoist import config as configuration
from ochrehoist.config import Config
from ochrehoist.core.linkwatch import LinkWatch
from ochrehoist.core.owner import Owner
from ochrehoist.core.requests import Linked, Retuned
from ochrehoist.net.kernel import Kernel
from ochrehoist.net.loop import Loop
from ochrehoist.settings import BadInput

LOOK = 0.25  # s from one look at the kernel's link to the next
AFTER = 3.0  # s after a change of configuration at which the log tells what has come of it
COUNTED = {"served": "answered_total", "refused": "deferred_total", "failed": "errored_total"}


class Reloading:
    """Reads the configuration whole and hands what can change to `takers`, the parts that take it.

    Nothing is lost by it: runs, keys, notices and open connections go on. A bad file changes nothing.
    """

    def __init__(self, loop: Loop, owner: Owner, config: Config, path: str | None,
                 takers: Sequence[Callable[[Config], None]], kernel: Kernel | None, log: Any) -> None:
        self.loop, self.owner, self.path, self.takers, self.log = loop, owner, path, takers, log
        self.config, self.kernel, self.watch = config, kernel, LinkWatch()
        self.good = True  # the kernel is within reach, or was a moment ago
        self.last, self.why, self.at = "start", "", time.monotonic()
        self.before = self._counts()

    def order(self) -> None:
        """SIGHUP."""
        if self.owner.forwarder is not None:
            return  # the file is for the process that decides now
        figures = self.owner.figures.single
        try:
            new, fixed = self._read()
        except BadInput as error:
            figures["conf_invalid_total"] += 1
            self._turned_down(str(error))
            self.log.error("configuration can't be used, the old one stays", why=str(error))
            return
        figures["conf_loaded_total"] += 1
        self._take(new)
        self.log.info("configuration read again", needs_a_restart=fixed)

    def watch_link(self) -> None:
        """A task: the kernel's link is looked at for good."""
        while self.owner.forwarder is None:
            if self.kernel.booted:  # a kernel that was never up is waited for
                self._look()
            self.loop.sleep(LOOK)

    def view(self) -> dict[str, Any]:
        """For operators: how the configuration in force came about, and what has come of it since."""
        values = {"last": self.last, "age_s": round(time.monotonic() - self.at, 1)}
        return values | ({"why": self.why} if self.why else {}) | {"since": self._since()}

    def _look(self) -> None:
        verdict = self.watch.look(time.monotonic(), self.kernel.stream is not None, self.kernel.address)
        if verdict.good is not self.good:
            self.good = verdict.good
            self.owner.post(Linked(verdict.good))
            if verdict.good:
                self.log.info("the kernel is within reach again", kernel=self.kernel.view())
            else:
                self.log.error("cut off from the kernel: health turns bad", kernel=self.kernel.view())
        if verdict.read_again:
            self._heal()

    def _heal(self) -> None:
        """Not counted as taken or turned down: nobody ordered it."""
        try:
            new, fixed = self._read()
        except BadInput as error:
            self._turned_down(str(error))
            self.log.error("cut off, and the configuration can't be used: mend the file", why=str(error))
            return
        if new == self.config:
            self.log.warning("cut off, and the configuration is as before: is the kernel up?",
                             kernel=self.kernel.view())
            return
        self._take(new)
        self.log.warning("cut off: a new configuration was found and taken", needs_a_restart=fixed)

    def _read(self) -> tuple[Config, list[str]]:
        return configuration.taken_over(self.config, configuration.load(self.path))

    def _take(self, new: Config) -> None:
        retuned, self.config = new.settings != self.config.settings, new
        for take in self.takers:
            take(new)
        if retuned:
            self.owner.post(Retuned(new.settings))
        self.last, self.why, self.at, self.before = "taken", "", time.monotonic(), self._counts()
        self.loop.call_later(AFTER, lambda at=self.at: self._tell(at))

    def _turned_down(self, why: str) -> None:
        self.last, self.why, self.at = "turned down", why, time.monotonic()

    def _tell(self, at: float) -> None:
        """Only of the newest: several within a moment are told of once."""
        if at == self.at:
            kernel = {"kernel": self.kernel.view()} if self.kernel else {}
            self.log.info("since the configuration was read again", state=self.owner.state, **self._since(),
                          **kernel)

    def _counts(self) -> dict[str, int]:
        return {word: self.owner.figures.total(name) for word, name in COUNTED.items()}

    def _since(self) -> dict[str, int]:
        return {word: n - self.before[word] for word, n in self._counts().items()}
