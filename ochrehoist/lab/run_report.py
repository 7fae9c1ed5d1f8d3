"""The result of a run of a scenario: its violations and figures, as the result file has them. No I/O."""

from typing import Any, NamedTuple, TypedDict

from ochrehoist.lab import invariants, site_invariants
from ochrehoist.lab.deployment import Deployment
from ochrehoist.lab.fault_injection import FaultInjector
from ochrehoist.lab.fault_schedule import FaultKind
from ochrehoist.lab.goodput import figures_record, peak_count, retry_times, runs_by_worker
from ochrehoist.lab.load_generator import ANSWER_MARGIN_S, LoadGenerator
from ochrehoist.lab.observation import Observer, Status
from ochrehoist.lab.outcomes import RunRecord
from ochrehoist.lab.scenario import Budget
from ochrehoist.lab.site_invariants import ObservedStatus, RecoveryStep

Span = tuple[float, float]

FIRST_SECOND_S = 1.0  # from which on calls count as undisturbed
RETRY_WINDOW_S = 1.0
MAX_FAULT_LINES = 3  # of one worker's log
MAX_EXCEPTION_CHARACTERS = 300
FAULT_EVENT_PREFIX = "fault"


class BudgetUse(TypedDict):
    """The most that was used of a budget, as the result file has it."""

    amount: int
    most: int


class Ejection(NamedTuple):
    """A worker ejected a service or took it back."""

    at_s: float
    worker: str
    service: str
    state: str
    reason: str


class SiteStateChange(NamedTuple):
    """What a worker made of another site."""

    at_s: float
    worker: str
    site: str
    state: str
    reason: str


class RunReport:
    """Judges one run that has ended, `ended_s` after its begin."""

    def __init__(
        self,
        deployment: Deployment,
        load: LoadGenerator,
        injector: FaultInjector,
        observer: Observer,
        final_statuses: dict[str, Status],
        ended_s: float,
    ) -> None:
        self._scenario = deployment.scenario
        self._deployment = deployment
        self._load = load
        self._injector = injector
        self._observer = observer
        self._final_statuses = final_statuses
        self._ended_s = ended_s

    def record(self) -> RunRecord:
        """All of it."""
        budgets = self._budget_uses()
        steps = self._recovery_steps()
        violations = [
            *invariants.violations(self._evidence()),
            *self._exceeded_budgets(budgets),
            *invariants.doubly_held_slots(self._observer.slot_holdings),
            *self._site_violations(steps),
            *self._worker_faults(),
        ]
        spans = self._spans()
        record = {
            "scenario": self._scenario.name,
            "seed": self._deployment.seed,
            "broken": violations,
            "budgets": budgets,
            "late_s": round(self._observer.lateness_s, 3),
            "events": [[round(event.at_s, 2), event.text] for event in self._injector.events],
            "final": {name: status.get("peers") for name, status in self._final_statuses.items()},
            "told_at_end": self._final_parts(),
            "judged": self._ejections(),
            "told": self._injector.operator_answers,
            "stepped": [[round(step.at_s, 2), *step[1:]] for step in steps],
            "known": self._site_changes(),
            "runs_in_faults": runs_by_worker(self._deployment.runs, *spans["faults"]),
            "weights": [[round(change.at_s, 2), *change[1:]] for change in self._load.weight_changes],
        }
        return record | figures_record(self._load.calls, self._deployment.runs, spans)

    # Invariants.

    def _evidence(self) -> invariants.Evidence:
        scenario = self._scenario
        store_kept = scenario.state and all(fault.store == "kept" for fault in scenario.faults)
        # What ran is known to the next process by its store, or by witnesses whatever became of the store.
        runs_known = store_kept or (scenario.state and scenario.witness_count > 0)
        return invariants.Evidence(
            calls=self._load.calls,
            runs=self._deployment.runs,
            faults=self._injector.spans_noticed_by_callers,
            process_starts={name: worker.starts_s for name, worker in self._deployment.workers.items()},
            slack_s=ANSWER_MARGIN_S + 2 * self._observer.lateness_s,
            store_kept=store_kept,
            runs_known=runs_known,
        )

    def _budget_uses(self) -> dict[str, BudgetUse]:
        return {
            budget.name: BudgetUse(amount=budget.amount, most=self._peak_use(budget))
            for budget in self._scenario.budgets
        }

    def _exceeded_budgets(self, uses: dict[str, BudgetUse]) -> list[str]:
        """A line for each budget of which more was used than may be."""
        found = []
        for budget in self._scenario.budgets:
            peak = uses[budget.name]["most"]
            allowed = self._allowed_use(budget)
            if peak > allowed:
                found.append(f"budget {budget.name}: {peak} where {allowed:.1f} are allowed")
        return found

    def _peak_use(self, budget: Budget) -> int:
        if budget.use == "repeats":
            return peak_count(retry_times(self._deployment.runs), RETRY_WINDOW_S)
        if budget.use == "server":
            return self._deployment.services[budget.of].peak_count
        return self._observer.peak_holding(budget.name)

    def _allowed_use(self, budget: Budget) -> float:
        """Quotas have no limit here: they are judged only by no slot being held twice."""
        if budget.use == "repeats":
            # Uses are seen as they come in: what this machine, or a paused worker, held up comes together.
            paused = sum(
                len(self._scenario.expand(fault.who))
                for fault in self._scenario.faults
                if fault.fault_kind is FaultKind.PAUSE
            )
            return budget.amount * (1 + self._observer.lateness_s) + paused
        return budget.amount if budget.use == "server" else float("inf")

    def _recovery_steps(self) -> list[RecoveryStep]:
        if not self._scenario.sites:
            return []
        return site_invariants.recovery_steps(self._scenario, self._observer.statuses)

    def _site_violations(self, steps: list[RecoveryStep]) -> list[str]:
        if not self._scenario.sites:
            return []
        alarms = site_invariants.false_alarms(
            self._scenario, self._injector.spans, self._observer.statuses, self._observer.lateness_s
        )
        return alarms + site_invariants.interleaved_steps(steps)

    def _worker_faults(self) -> list[str]:
        """Faults of their own that workers logged."""
        lines = []
        for name, worker in self._deployment.workers.items():
            faults = [event for event in worker.log_events if event["event"].startswith(FAULT_EVENT_PREFIX)]
            for event in faults[:MAX_FAULT_LINES]:
                exception = str(event.get("exception"))[-MAX_EXCEPTION_CHARACTERS:]
                lines.append(f"{name}: {event['event']}: {exception}")
        return lines

    # Figures.

    def _spans(self) -> dict[str, Span]:
        """Before the first fault, from there to the end of the last, and after it."""
        faults = self._scenario.faults
        end_s = self._scenario.seconds
        first_s = min([fault.at for fault in faults], default=end_s)
        last_s = max([fault.ends_at for fault in faults], default=end_s)
        return {"quiet": (FIRST_SECOND_S, first_s), "faults": (first_s, last_s), "after": (last_s, end_s)}

    def _final_parts(self) -> dict[str, dict[str, Any]]:
        keys = ("sites", "recovery", "store")
        return {name: {key: status.get(key) for key in keys} for name, status in self._final_statuses.items()}

    def _ejections(self) -> list[Ejection]:
        return sorted(
            Ejection(round(self._ended_s - ago_s, 2), name, service, state, reason)
            for name, status in self._final_statuses.items()
            for ago_s, service, state, reason in (status.get("peers") or {}).get("judged", ())
        )

    def _site_changes(self) -> list[SiteStateChange]:
        """Each change once: statuses tell of it again and again."""
        changes = {
            _site_change(observed, change)
            for observed in self._observer.statuses
            for change in observed.sites.get("changes", ())
        }
        return sorted(changes)


def _site_change(observed: ObservedStatus, change: dict[str, Any]) -> SiteStateChange:
    at_s = round(observed.at_s - change["ago_s"], 1)
    return SiteStateChange(at_s, observed.worker, change["site"], change["state"], change["why"])
