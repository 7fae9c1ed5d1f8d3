"""The proof that a filing was lost with a kernel's link, against kernels that tell the truth late."""

import unittest
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.admission.settings import Idempotency
from ochrehoist.net.in_flight_runs import CORE_DELAY_S, LOSS_WINDOW_S, InFlightRuns

STEP = 0.004  # s between two events of a play
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("filing", "read", "ask", "ask", "pass", "arrive", "end", "break", "loss", "heard", "heard")
        ),
        st.integers(0, 5),
    ),
    min_size=10,
    max_size=120,
)


class Truthful:
    """A kernel: commands wait in its link, runs reach its cores a little later, the last notices are kept.

    What it says is in order. It loses commands that were written in the last 50 ms before a break.
    """

    def __init__(self, kept):
        self.now, self.kept = 0.0, kept
        self.runs, self.link, self.said = InFlightRuns(), [], []
        self.cores, self.begun, self.seen, self.notices, self.offset = {}, {}, {}, [], 0

    def read_by_kernel(self):
        """All that was written to the link."""
        for kind, what, _ in self.link:
            if kind == "ask":
                wants = sum(self.now - since >= lag for since, lag in self.cores.values())
                self.said.append(("info", what, wants))
            elif what.id not in self.cores:
                self.cores[what.id] = (self.now, what.lag)
                self.begun[what.id] = self.begun.get(what.id, 0) + 1
        self.link.clear()

    def give(self, run):
        run.mark_sent(self.now)
        self.link.append(("sched", run.request, self.now))

    def ask(self):
        self.link.append(("ask", self.now, self.now))

    def end(self, rid):
        del self.cores[rid]
        self.notices.append(rid)
        self.said.append(("reap", len(self.notices), rid))

    def hear(self):
        """The worker's side takes all that was said."""
        said, self.said = self.said, []
        for kind, a, b in said:
            if kind == "reap":
                self.told(a, b)
                continue
            self.runs.acknowledge(a, self.now)
            for run in self.runs.unknown_reads():
                self.give(run)
            for run in self.runs.lost_filings(a, float(b)):
                self.give(run)

    def told(self, offset, rid):
        if offset > self.offset + 1:
            self.runs.notices_lost()
        if offset > self.offset:
            self.offset = offset
            self.runs.end(rid)

    def broken(self, loses):
        """The link breaks: at most what was written in its last 50 ms is lost; a new one is made."""
        late = [c for c in self.link if self.now - c[2] <= 0.05]
        self.link = [c for c in self.link if c not in late or not loses]
        self.read_by_kernel()
        self.said.clear()
        self.runs.link_lost()
        self.runs.link_opened(self.now)
        for offset in range(max(self.offset, len(self.notices) - self.kept) + 1, len(self.notices) + 1):
            self.said.append(("reap", offset, self.notices[offset - 1]))
        self.ask()


def request(number, keyed, lag=0.0):
    return SimpleNamespace(
        id=f"r{number}",
        lag=lag,
        request_class=SimpleNamespace(idempotency=Idempotency.KEYED if keyed else Idempotency.IDEMPOTENT),
    )


class LostRunProofTest(unittest.TestCase):
    """Kernels that tell the truth late, in any order."""

    @settings(max_examples=400, deadline=None)
    @given(STEPS, st.sampled_from((1, 3, 4000)))
    def test_no_filing_begins_twice_in_any_order(self, steps, kept):
        kernel, filings = Truthful(kept), set()
        for number, (what, n) in enumerate(steps):
            kernel.now += STEP * (n + 1) if what == "pass" else STEP / 8
            if what in ("filing", "read"):
                r = request(
                    number, what == "filing", lag=(0, 0, STEP, STEP, 2 * STEP, CORE_DELAY_S - STEP / 2)[n]
                )
                filings |= {r.id} if what == "filing" else set()
                kernel.give(kernel.runs.start(r))
            elif what == "ask":
                kernel.ask()
            elif what == "arrive":
                kernel.read_by_kernel()
            elif what == "heard":
                kernel.hear()
            elif what == "end" and kernel.cores:
                kernel.end(sorted(kernel.cores)[n % len(kernel.cores)])
            elif what in ("break", "loss"):
                kernel.broken(what == "loss")
            twice = {rid for rid in filings if kernel.begun.get(rid, 0) > 1}
            self.assertFalse(twice, kernel.begun)

    def lost(self, runs, now, wants):
        return [run.request.id for run in runs.lost_filings(now, wants)]

    def test_a_filing_that_was_lost_is_found_once_all_else_has_reached_the_cores(self):
        runs = InFlightRuns()
        runs.start(request(1, True)).mark_sent(1.0)
        self.assertEqual([run.request.id for run in runs.link_lost()], ["r1"])
        self.assertEqual(self.lost(runs, 1.05, 0.0), [])  # no link: nothing is known of what was read
        runs.link_opened(1.1)
        self.assertEqual(self.lost(runs, 1.1, 0.0), [])  # it may be on its way to the cores
        runs.start(request(2, False)).mark_sent(1.2)
        self.assertEqual(self.lost(runs, 1.3, 1.0), [])  # it may be the filing that wants a core
        runs.acknowledge(1.3, 1.4)
        self.assertEqual(self.lost(runs, 1.4, 1.0), [])  # the read may have been read just now
        self.assertEqual(self.lost(runs, 1.4 + CORE_DELAY_S, 1.0), ["r1"])
        self.assertEqual(self.lost(runs, 1.5, 2.0), [])
        self.assertEqual(self.lost(runs, 1.5, 0.0), [])  # a gauge that contradicts proves nothing
        self.assertEqual(self.lost(runs, 1.5, None), [])

    def test_what_was_read_long_before_a_break_is_known_and_what_came_later_is_not(self):
        runs = InFlightRuns()
        old, new = runs.start(request(1, True)), runs.start(request(2, True))
        old.mark_sent(1.0)
        new.mark_sent(2.0)
        runs.acknowledge(1.0 + LOSS_WINDOW_S + 0.001, 1.1)
        self.assertEqual(runs.link_lost(), [new])
        self.assertTrue(old.confirmed)
        self.assertEqual(runs.link_lost(), [])  # once in doubt, it is told of once
        self.assertEqual(runs.notices_lost(), [old])
        runs.link_opened(3.0)
        self.assertEqual(self.lost(runs, 9.0, 0.0), [])


if __name__ == "__main__":
    unittest.main()
