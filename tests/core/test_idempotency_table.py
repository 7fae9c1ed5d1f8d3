"""The idempotency table against a plain model, in random orders from fixed seeds."""

import json
from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ochrehoist.admission.events import Outcome
from ochrehoist.core.handover_snapshot import SnapshotReader, snapshot_lines
from ochrehoist.core.idempotency_table import WINDOW_MARGIN_NS, IdempotencyTable
from ochrehoist.core.request import RequestReference
from ochrehoist.core.results import RunResult
from ochrehoist.core.snapshot import CoreSnapshot
from ochrehoist.net.ajp_reply_codec import ReplyCodec

READ_DELAY_NS = 5
WINDOW_NS = 20
RESULT_BYTES = 7
MAX_RESULT_BYTES = 3 * RESULT_BYTES  # so that results are evicted
CODEC = ReplyCodec()

keys = st.sampled_from([("acme", "filing", name) for name in "klm"])
# Few ids, which several requests have.
references = st.builds(RequestReference, st.sampled_from(["a", "b"]), st.integers(1, 4))


@dataclass
class ModelRun:
    """The run of a key."""

    request: RequestReference
    window_end_ns: int
    ended: bool = False


class TableMachine(RuleBasedStateMachine):
    """Does the same to the table and to the model, and compares them."""

    def __init__(self):
        super().__init__()
        self.now_ns = 100
        self.table = IdempotencyTable(READ_DELAY_NS, MAX_RESULT_BYTES)
        self.holders: dict[tuple, tuple[RequestReference, int]] = {}  # by key, with the time of expiry
        self.runs: dict[tuple, ModelRun] = {}
        self.in_memory: list[tuple] = []  # keys of the results in memory, oldest first

    @rule(key=keys, request=references)
    def retain(self, key, request):
        expires_ns = self.now_ns + WINDOW_NS
        self.table.retain(key, request, expires_ns, None)
        self.holders = {k: held for k, held in self.holders.items() if held[0] != request}
        self.holders[key] = request, expires_ns

    @rule(request=references)
    def release(self, request):
        self.table.release(request)
        self.holders = {k: held for k, held in self.holders.items() if held[0] != request}

    @rule(key=keys, request=references)
    def start(self, key, request):
        run = self.runs.get(key)
        may_run = run is None or (run.ended and self.now_ns > run.window_end_ns)
        assert self.table.may_run(key, self.now_ns) is may_run
        if not may_run:
            return
        self.table.run_started(key, request, self.now_ns + WINDOW_NS, None)
        self.runs[key] = ModelRun(request, self.now_ns + WINDOW_NS + WINDOW_MARGIN_NS)
        self.forget_result(key)

    @rule(key=keys, request=references)
    def end(self, key, request):
        self.table.run_ended(key, request, RunResult(Outcome.OK, b"done"), RESULT_BYTES)
        run = self.runs.get(key)
        if run is not None and run.request == request and not run.ended:
            run.ended = True
            self.in_memory = [*self.in_memory, key][-(MAX_RESULT_BYTES // RESULT_BYTES) :]

    @rule(key=keys, request=references)
    def abandon(self, key, request):
        self.table.remove_unstarted_run(key, request)
        run = self.runs.get(key)
        if run is not None and run.request == request and not run.ended:
            del self.runs[key]

    @rule(passed_ns=st.sampled_from([1, WINDOW_NS, WINDOW_MARGIN_NS]))
    def expire(self, passed_ns):
        self.now_ns += passed_ns
        for key in self.table.expired_records(self.now_ns):
            self.table.drop_record(key)
        for key in self.table.expired_runs(self.now_ns):
            self.table.drop_run(key)
        oldest_ns = self.now_ns - READ_DELAY_NS
        self.holders = {k: held for k, held in self.holders.items() if held[1] >= oldest_ns}
        for key, run in list(self.runs.items()):
            if run.ended and run.window_end_ns < oldest_ns:
                del self.runs[key]
                self.forget_result(key)

    @precondition(lambda self: self.runs or self.holders)
    @rule()
    def hand_over(self):
        reader = SnapshotReader(
            0, {}, MAX_RESULT_BYTES, RESULT_BYTES - len(b"done"), lambda _line: None, CODEC
        )
        for line in snapshot_lines(CoreSnapshot(idempotency=self.table), 0, CODEC):
            reader.read(json.loads(json.dumps(line)))
        assert reader.done
        self.table = reader.snapshot.idempotency
        self.table.read_delay_ns = READ_DELAY_NS
        # The lines have the order of the runs, in which results are evicted from then on.
        self.in_memory = [key for key in self.runs if key in self.in_memory]

    def forget_result(self, key):
        self.in_memory = [other for other in self.in_memory if other != key]

    @invariant()
    def the_table_has_what_the_model_has(self):
        table = self.table
        held = {key: (record.holder, record.expires_ns) for key, record in table.records.items()}
        assert held == self.holders
        runs = {
            key: ModelRun(run.request, run.window_end_ns, run.has_ended) for key, run in table.runs.items()
        }
        assert runs == self.runs
        assert {key for key, run in table.runs.items() if run.result is not None} == set(self.in_memory)
        assert table.bytes == len(self.in_memory) * RESULT_BYTES

    @invariant()
    def a_duplicate_finds_its_original(self):
        for key in {*self.holders, *self.runs}:
            expected = None
            if key in self.holders and self.now_ns <= self.holders[key][1]:
                expected = self.holders[key][0]
            elif key in self.runs and self.now_ns <= self.runs[key].window_end_ns:
                expected = self.runs[key].request
            assert self.table.original_request(key, self.now_ns) == expected


TableMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, database=None, deadline=None
)
TestTable = TableMachine.TestCase
