"""What the planner cannot answer or make; each text says why, and what there is instead."""

from collections.abc import Iterable
from typing import Self

from ochrehoist.errors import OchrehoistError


class MeasurementError(OchrehoistError):
    """The measurement cannot be made."""

    @classmethod
    def not_started(cls, worker: str, log_path: str) -> Self:
        """A real worker did not connect to its kernel in time."""
        return cls(f"worker {worker} did not come up: see {log_path}")


class CaptureUnusableError(OchrehoistError, ValueError):
    """The capture does not hold what the question needs."""

    @classmethod
    def no_requests(cls) -> Self:
        """Nothing at all is on record."""
        return cls("no requests are on record")

    @classmethod
    def no_first_attempts(cls) -> Self:
        """Only retries are on record."""
        return cls("no first tries are on record")

    @classmethod
    def unknown_class(cls, name: str) -> Self:
        """A request is of a class that the fleet does not have."""
        return cls(f"class {name!r} of the capture is not in the fleet's classes")

    @classmethod
    def unknown_tenant(cls, name: str | None) -> Self:
        """A request is of a tenant that the fleet does not have."""
        return cls(f"tenant {name!r} of the capture is not in the fleet's tenants")


class UnanswerableQuestionError(OchrehoistError):
    """More than the model can tell; no number is given."""

    @classmethod
    def unknown_site(cls, site: str, sites: Iterable[str]) -> Self:
        """No worker of the fleet lies in the site."""
        return cls(f"no worker lies in {site!r}; there are {list(sites)}")

    @classmethod
    def no_workers_left(cls, site: str, consequence: str) -> Self:
        """The loss of the site leaves no worker."""
        return cls(f"all workers lie in {site!r}: {consequence}")

    @classmethod
    def site_not_a_part(cls, site: str, lost: int, total: int) -> Self:
        """The site holds none or all of the workers."""
        return cls(f"{site!r} holds {lost} of {total} workers")

    @classmethod
    def outage_too_short(cls, start_s: float, end_s: float) -> Self:
        """No whole second lies between the loss and the return."""
        return cls(f"it is gone from second {start_s:g} to {end_s:g}: no whole second, too short to tell")

    @classmethod
    def goal_out_of_range(cls, goal: float) -> Self:
        """Only a part of the priority weight can be a goal."""
        return cls(f"a goal of {goal} is not between 0 and 1")

    @classmethod
    def no_address_left(cls) -> Self:
        """The networks of the sites are used up."""
        return cls("the sites' networks have no address left for another worker")

    @classmethod
    def goal_not_reached(cls, count: int, kind: str) -> Self:
        """More machines of the kind do not help."""
        return cls(f"not reached with {count} of {kind}: what is missing is not machines (see `plan breaks`)")

    @classmethod
    def loss_not_survived(cls, needed: int, kind: str, largest: int) -> Self:
        """Enough machines without a loss, never enough with one."""
        return cls(f"{needed} of {kind} reach the goal, but none up to {largest} bear a loss")

    @classmethod
    def search_interrupted(cls, count: int, kind: str, goodput: float) -> Self:
        """The user stopped the search; the best so far."""
        return cls(f"stopped; so far {count} of {kind} give {goodput:.3f}")

    @classmethod
    def single_worker(cls) -> Self:
        """A rolling restart needs two workers."""
        return cls("a fleet of one has nobody to serve while it restarts")

    @classmethod
    def single_site(cls) -> Self:
        """A playbook needs two sites."""
        return cls("a playbook needs two sites with workers: what is lost with the only one is all")
