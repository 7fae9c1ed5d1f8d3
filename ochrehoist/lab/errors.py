"""The errors of the laboratory's runs."""

from typing import Self

from ochrehoist.errors import OchrehoistError


class RunAbortedError(OchrehoistError):
    """A run cannot go on: a process did not start, ended or does not answer. The text says which."""

    @classmethod
    def hollow_process_not_started(cls, reason: str) -> Self:
        """A process of hollow workers ended before it was ready."""
        return cls(f"hollow workers did not come up: {reason}")

    @classmethod
    def hollow_process_failed(cls, reason: str) -> Self:
        """A command of a process of hollow workers failed."""
        return cls(f"a process of hollow workers: {reason}")

    @classmethod
    def hollow_process_ended(cls, reason: str) -> Self:
        """A process of hollow workers ended while commands were pending."""
        return cls(f"a process of hollow workers ended: {reason}")

    @classmethod
    def hollow_process_silent(cls, command: str, error: BaseException) -> Self:
        """A process of hollow workers did not answer a command in time."""
        return cls(f"a process of hollow workers does not answer {command}: {error!r}")

    @classmethod
    def worker_not_started(cls, worker: str, last_line: str) -> Self:
        """A worker ended before it served, or did not serve in time; `last_line` is that of its log."""
        return cls(f"worker {worker} did not come up: {last_line or 'it says nothing'}")

    @classmethod
    def store_not_initialized(cls, worker: str) -> Self:
        """`ochrehoist state init` failed for the store of a worker."""
        return cls(f"the store of {worker} could not be made")


class InvalidRunError(OchrehoistError):
    """A run may not begin as it was asked for; the text says which limit or option stands against it."""

    @classmethod
    def real_workers_with_slow_clock(cls) -> Self:
        """Real workers take part, and the clocks of hollow ones are slowed down."""
        return cls("real workers know no slow clock: give --pace 1, or --real 0")

    @classmethod
    def too_few_members(cls) -> Self:
        """No member would be hollow."""
        return cls("members: fewer than the real ones and one hollow one")

    @classmethod
    def too_many_processes(cls, count: int, limit: int) -> Self:
        """The run would start more processes than it may."""
        return cls(f"{count} processes, and at most {limit} are allowed")
