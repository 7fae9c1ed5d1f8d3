"""Parameters of the model found from captures."""

import unittest

from ochrehoist.capture.reader import Capture, CapturedRequest
from ochrehoist.capture.records import CaptureHeader, RequestRecord
from ochrehoist.plan.cores import Cores, Machine
from ochrehoist.plan.demand import Streams
from ochrehoist.plan.fit import estimate_all


class Fit(unittest.TestCase):
    def entries(self, speed=0.7, cores=4, slow_from=2.0, count=3000, crowd=24):
        """Runs as a machine of that speed has them, whose crowd is another every two seconds."""
        rng, machine = Streams(5)["work"], Machine(cores, speed, slow_from=slow_from, slow_to=0.4, crowd=8.0)
        there, now, begun, out, wanted = Cores(machine, 0.0), 0.0, {}, [], 1
        while len(out) < count:
            while len(begun) < wanted:
                number, work = len(begun) + len(out), float(rng.lognormal(-1.2, 0.6))
                begun[number] = (now, work, len(begun))
                there.start(number, work)
            at = there.next_end()
            if int(at / 2) != int(now / 2):
                wanted = int(rng.integers(1, crowd))
            now = at
            for number in there.advance(now):
                began, work, running = begun.pop(number)
                subject, stated = int(rng.zipf(1.9)), int(work * 1e9 * rng.lognormal(0, 0.1))
                seen = RequestRecord(
                    int(began * 1e9),
                    "read",
                    None,
                    "ajp",
                    subject,
                    stated,
                    1,
                    "",
                    len(out) % 10 == 0,
                    0,
                    15_000_000,
                    0,
                    int((now - began) * 1e9),
                    running,
                    0,
                )
                out.append(CapturedRequest("n1", int(began * 1e9), seen, subject))
        return Capture(
            [CaptureHeader("n1", 0, 1.0, cores, 1.0, (), ())], sorted(out, key=lambda e: e.arrived_unix_ns)
        )

    def told(self, capture):
        return {e.what: e for e in estimate_all(capture)}

    def test_speed_crowd_and_repeats_are_found_within_their_intervals(self):
        found = self.told(self.entries())
        speed = found["n1: speed of a core"]
        self.assertTrue(speed.low <= 0.7 * 1.02 and speed.high >= 0.7 * 0.98, speed)
        self.assertAlmostEqual(found["n1: running a core, past which work slows"].value, 2.5, delta=0.6)
        repeats = found["marked repeats, of all requests"]
        self.assertTrue(repeats.low <= 0.1 <= repeats.high)
        capture = self.entries()
        firsts = sum(not e.record.is_retry for e in capture.requests)
        rate = found["first tries a second"]
        self.assertTrue(rate.low <= firsts / capture.duration_s <= rate.high, rate)

    def test_what_a_capture_cannot_tell_gets_no_number(self):
        found = self.told(self.entries(crowd=4))  # never more than the cores
        self.assertIsNone(found["n1: running a core, past which work slows"].value)
        self.assertIn("never seen to slow", found["n1: running a core, past which work slows"].note)
        few = self.told(self.entries(count=30))
        self.assertIsNone(few["n1: speed of a core"].value)
        self.assertIsNone(few["popularity of subjects (zipf)"].value)
        self.assertRaises(ValueError, estimate_all, Capture())
