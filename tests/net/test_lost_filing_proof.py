"""Tests of the proof that a filing was lost with the link, against a model kernel that reports late.

They guard against filings that run twice: a command that is wrongly considered lost is sent again.
"""

import unittest
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.admission.settings import Idempotency
from ochrehoist.net.in_flight_runs import CORE_DELAY_S, LOSS_WINDOW_S, InFlightRuns

STEP_S = 0.004
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "filing",
                "read",
                "query",
                "query",
                "pass",
                "arrive",
                "end",
                "break",
                "loss",
                "receive",
                "receive",
            )
        ),
        st.integers(0, 5),
    ),
    min_size=10,
    max_size=120,
)


class ModelKernel:
    """A kernel and the worker's side of its link, on a simulated clock.

    Commands wait in the link until the kernel reads them, and runs reach its cores after a delay. Notices
    arrive in order; the last `kept_notices` of them are repeated on a new link. Commands that were written in
    the last 50 ms before a break may be lost.
    """

    def __init__(self, kept_notices):
        self.now, self.kept_notices = 0.0, kept_notices
        self.runs, self.link, self.unreceived = InFlightRuns(), [], []
        self.running, self.begun, self.seen, self.notices, self.offset = {}, {}, {}, [], 0

    def read_commands(self):
        """Reads all commands in the link."""
        for kind, content, _ in self.link:
            if kind == "query":
                runnable = sum(self.now - since >= delay for since, delay in self.running.values())
                self.unreceived.append(("info", content, runnable))
            elif content.id not in self.running:
                self.running[content.id] = (self.now, content.core_delay_s)
                self.begun[content.id] = self.begun.get(content.id, 0) + 1
        self.link.clear()

    def schedule(self, run):
        run.mark_sent(self.now)
        self.link.append(("sched", run.request, self.now))

    def query(self):
        self.link.append(("query", self.now, self.now))

    def end(self, request_id):
        del self.running[request_id]
        self.notices.append(request_id)
        self.unreceived.append(("reap", len(self.notices), request_id))

    def receive(self):
        """Lets the worker receive all notices and answers sent so far."""
        unreceived, self.unreceived = self.unreceived, []
        for kind, position, content in unreceived:
            if kind == "reap":
                self.receive_end(position, content)
                continue
            self.runs.acknowledge(position, self.now)
            for run in self.runs.unknown_reads():
                self.schedule(run)
            for run in self.runs.lost_filings(position, float(content)):
                self.schedule(run)

    def receive_end(self, offset, request_id):
        if offset > self.offset + 1:
            self.runs.notices_lost()
        if offset > self.offset:
            self.offset = offset
            self.runs.end(request_id)

    def break_link(self, loses_commands):
        """Replaces the link; commands of its last 50 ms are lost if `loses_commands`."""
        late = [command for command in self.link if self.now - command[2] <= 0.05]
        self.link = [command for command in self.link if command not in late or not loses_commands]
        self.read_commands()
        self.unreceived.clear()
        self.runs.link_lost()
        self.runs.link_opened(self.now)
        for offset in range(
            max(self.offset, len(self.notices) - self.kept_notices) + 1, len(self.notices) + 1
        ):
            self.unreceived.append(("reap", offset, self.notices[offset - 1]))
        self.query()


def request(number, keyed, core_delay_s=0.0):
    return SimpleNamespace(
        id=f"r{number}",
        core_delay_s=core_delay_s,
        request_class=SimpleNamespace(idempotency=Idempotency.KEYED if keyed else Idempotency.IDEMPOTENT),
    )


class LostFilingProofTest(unittest.TestCase):
    """Filings are sent again only if they are proved lost."""

    @settings(max_examples=400, deadline=None)
    @given(EVENTS, st.sampled_from((1, 3, 4000)))
    def test_no_filing_begins_twice_in_any_order(self, events, kept_notices):
        kernel, filings = ModelKernel(kept_notices), set()

        for number, (event, choice) in enumerate(events):
            kernel.now += STEP_S * (choice + 1) if event == "pass" else STEP_S / 8
            if event in ("filing", "read"):
                new_request = request(
                    number,
                    event == "filing",
                    core_delay_s=(0, 0, STEP_S, STEP_S, 2 * STEP_S, CORE_DELAY_S - STEP_S / 2)[choice],
                )
                filings |= {new_request.id} if event == "filing" else set()
                kernel.schedule(kernel.runs.start(new_request))
            elif event == "query":
                kernel.query()
            elif event == "arrive":
                kernel.read_commands()
            elif event == "receive":
                kernel.receive()
            elif event == "end" and kernel.running:
                kernel.end(sorted(kernel.running)[choice % len(kernel.running)])
            elif event in ("break", "loss"):
                kernel.break_link(event == "loss")
            begun_twice = {request_id for request_id in filings if kernel.begun.get(request_id, 0) > 1}
            self.assertFalse(begun_twice, kernel.begun)

    def lost(self, runs, queried_at_s, runnable):
        return [run.request.id for run in runs.lost_filings(queried_at_s, runnable)]

    def test_a_lost_filing_is_proved_lost_once_all_other_runs_have_reached_the_cores(self):
        runs = InFlightRuns()
        runs.start(request(1, True)).mark_sent(1.0)
        self.assertEqual([run.request.id for run in runs.link_lost()], ["r1"])
        self.assertEqual(self.lost(runs, 1.05, 0.0), [])  # without a link nothing is known of what was read
        runs.link_opened(1.1)
        self.assertEqual(self.lost(runs, 1.1, 0.0), [])  # the filing may not have reached the cores yet
        runs.start(request(2, False)).mark_sent(1.2)
        self.assertEqual(self.lost(runs, 1.3, 1.0), [])  # the runnable run may be the filing
        runs.acknowledge(1.3, 1.4)
        self.assertEqual(self.lost(runs, 1.4, 1.0), [])  # the command of r2 may have been read just now
        self.assertEqual(self.lost(runs, 1.4 + CORE_DELAY_S, 1.0), ["r1"])
        self.assertEqual(self.lost(runs, 1.5, 2.0), [])
        self.assertEqual(self.lost(runs, 1.5, 0.0), [])  # a contradictory gauge proves nothing
        self.assertEqual(self.lost(runs, 1.5, None), [])

    def test_commands_read_long_before_a_break_are_confirmed_and_later_ones_are_unknown(self):
        runs = InFlightRuns()
        old, new = runs.start(request(1, True)), runs.start(request(2, True))
        old.mark_sent(1.0)
        new.mark_sent(2.0)
        runs.acknowledge(1.0 + LOSS_WINDOW_S + 0.001, 1.1)
        self.assertEqual(runs.link_lost(), [new])
        self.assertTrue(old.confirmed)
        self.assertEqual(runs.link_lost(), [])  # its outcome was already unknown
        self.assertEqual(runs.notices_lost(), [old])
        runs.link_opened(3.0)
        self.assertEqual(self.lost(runs, 9.0, 0.0), [])


if __name__ == "__main__":
    unittest.main()
