"""A core that serves few ids and keys in random orders, from fixed seeds, under the rules that it keeps."""

import itertools

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ochrehoist.admission.events import NEVER_RAN, Outcome
from ochrehoist.core.messages import (
    CallerDisconnected,
    IntentRecorded,
    RequestArrived,
    RunCompleted,
    SettingsChanged,
)
from ochrehoist.core.results import RunResult
from tests.core.core_test_case import FILING, READ, CoreTestCase, RecordingJournal, S, settings

LONG_AFTER_NS = 3 * (FILING.idempotency_window_ns + FILING.deadline_ns)
OUTCOMES = [Outcome.OK, Outcome.FAILED, Outcome.NOT_STARTED]

ids = st.sampled_from(["a", "b", "c"])
keys = st.sampled_from(["k", "l", "m"])
positions = st.integers(0, 100)


class IntentJournal(RecordingJournal):
    """Has the requests whose intent is not recorded yet."""

    def __init__(self):
        super().__init__()
        self.pending = []

    def begin(self, request, run):
        self.pending.append(request)


class Core(CoreTestCase):
    """A core whose runs are kept until they are completed."""

    def setUp(self):
        super().setUp()
        self.running_requests = []
        self.executed = []
        self.journal = IntentJournal()
        self.actor.register_journal(self.journal)

    def start(self, request):
        self.running_requests.append(request)
        self.executed.append(request)


class CoreMachine(RuleBasedStateMachine):
    """Sends, aborts, records and completes requests, lets time pass and reloads the settings."""

    def __init__(self):
        super().__init__()
        self.core = Core("setUp")
        self.core.setUp()
        self.requests = []
        self.aborted = set()
        self.outcomes = {}  # by serial of the request that ran

    def send(self, request):
        self.requests.append(request)
        self.core.post_and_step(RequestArrived(request))

    @rule(request_id=ids, key=keys)
    def file(self, request_id, key):
        self.send(self.core.request(key, request_id=request_id))

    @rule(request_id=ids)
    def read(self, request_id):
        self.send(self.core.request(request_class=READ, request_id=request_id))

    @precondition(lambda self: self.core.journal.pending)
    @rule(position=positions, recorded=st.booleans())
    def record(self, position, recorded):
        pending = self.core.journal.pending
        request = pending.pop(position % len(pending))
        self.core.post_and_step(IntentRecorded(request.reference, recorded, S))

    @precondition(lambda self: self.core.running_requests)
    @rule(position=positions, outcome=st.sampled_from(OUTCOMES))
    def complete(self, position, outcome):
        running = self.core.running_requests
        request = running.pop(position % len(running))
        self.outcomes[request.serial] = outcome
        body = f"{request.idempotency_key} {request.serial}".encode()
        self.core.post_and_step(RunCompleted(request.reference, RunResult(outcome, body), S))

    @precondition(lambda self: self.requests)
    @rule(position=positions)
    def abort(self, position):
        request = self.requests[-1 - position % len(self.requests)]
        if not self.core.answers(request):
            self.aborted.add(request.serial)
        self.core.post_and_step(CallerDisconnected(request.reference))

    @rule(passed_ns=st.sampled_from([S // 10, S, 6 * S, LONG_AFTER_NS]))
    def wait(self, passed_ns):
        self.pass_time(passed_ns)

    @rule()
    def reload(self):
        self.core.post_and_step(SettingsChanged(settings()))

    def pass_time(self, passed_ns):
        self.core.now_ns += passed_ns
        self.core.post_and_step()
        self.core.now_ns += S // 20  # after the longest wait for gauges
        self.core.post_and_step()

    def may_have_run(self, request):
        return self.outcomes.get(request.serial) not in NEVER_RAN

    @invariant()
    def each_request_has_at_most_one_answer_and_one_by_its_deadline(self):
        for request in self.requests:
            answers = len(self.core.answers(request))
            is_overdue = self.core.now_ns > request.arrived_ns + request.request_class.deadline_ns
            assert answers <= 1
            assert answers == 1 or not is_overdue or request.serial in self.aborted, request

    @invariant()
    def no_filing_runs_twice_within_its_window(self):
        for key in {request.idempotency_key for request in self.requests} - {None}:
            runs = [
                run for run in self.core.executed if run.idempotency_key == key and self.may_have_run(run)
            ]
            for earlier, later in itertools.pairwise(runs):
                assert earlier.serial in self.outcomes  # it has ended
                assert later.arrived_ns > earlier.arrived_ns + FILING.idempotency_window_ns

    @invariant()
    def answers_are_those_of_the_filing_and_none_is_refused_that_ran(self):
        for request in self.requests:
            for kind, body in self.core.answers(request):
                if kind == "served":
                    assert body.startswith(f"{request.idempotency_key} ".encode())
                if kind == "refused":
                    assert request not in self.core.executed

    def teardown(self):
        while self.core.running_requests or self.core.journal.pending:  # the end of one may start another
            if self.core.running_requests:
                self.complete(0, Outcome.OK)
            else:
                self.record(0, False)
        for _ in range(3):
            self.pass_time(LONG_AFTER_NS)
        actor = self.core.actor
        assert (actor.open_requests, actor.inbox) == ({}, type(actor.inbox)())
        assert (actor.idempotency.records, actor.idempotency.runs, actor.idempotency.bytes) == ({}, {}, 0)
        controller = actor.controller
        assert (controller.jobs, controller.idempotency.retained, controller.idempotency.ended) == (
            {},
            {},
            {},
        )
        assert controller.concurrency.running == 0


CoreMachine.TestCase.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=40, derandomize=True, database=None, deadline=None
)
TestCore = CoreMachine.TestCase
