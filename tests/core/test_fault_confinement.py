"""Exceptions in the core's due work: each ends only the timer, record or request that caused it."""

import unittest
from unittest import mock

from ochrehoist.admission.events import Outcome
from ochrehoist.core.fault_confinement import Fault
from ochrehoist.core.message_handlers import MAX_TIMER_FAULTS
from ochrehoist.core.messages import (
    GaugesMeasured,
    IntentRecorded,
    RequestArrived,
    RunCompleted,
    StateTransferred,
)
from ochrehoist.core.results import FailureReason, RunResult
from tests.core.core_test_case import FILING, READ, CoreTestCase, S

OK = RunResult(Outcome.OK, b"done")
TICK_NS = S // 10


def raising_once(function):
    """Returns a function that raises when it is first called, and then is `function`."""
    faults = iter([ValueError("injected")])

    def call(*args):
        for fault in faults:
            raise fault
        return function(*args)

    return call


class DueWorkTest(CoreTestCase):
    """One part of the due work raises."""

    def setUp(self):
        super().setUp()
        self.actor.log.exception = mock.Mock()

    def assert_one_fault(self, work):
        self.actor.log.exception.assert_called_once_with("due_work_fault", work=work)
        self.assertEqual(self.actor.faults.counts, {Fault.DUE_WORK: 1})

    def file(self, key):
        filing = self.arrive(key)
        self.post_and_step(IntentRecorded(filing.reference, True), RunCompleted(filing.reference, OK, S))
        return filing

    def test_a_record_that_cannot_be_dropped_leaves_the_expiry_of_the_others(self):
        # Guards against the end of the core: an exception at one expired record ended its task.
        for key in ("a", "b"):
            self.file(key)
        self.now_ns += 2 * (FILING.idempotency_window_ns + FILING.deadline_ns)
        table = self.actor.idempotency
        table.drop_record = raising_once(table.drop_record)
        self.post_and_step()
        self.assert_one_fault("record_expiry")
        self.assertEqual((len(table.records), table.runs), (1, {}))
        self.now_ns += 2 * S
        self.post_and_step()
        self.assertEqual(table.records, {})

    def test_a_run_that_the_journal_cannot_drop_leaves_the_expiry_of_the_others(self):
        for key in ("a", "b"):
            self.file(key)
        self.now_ns += 2 * (FILING.idempotency_window_ns + FILING.deadline_ns)
        self.journal.drop = raising_once(self.journal.drop)
        self.post_and_step()
        self.assert_one_fault("run_expiry")
        self.assertEqual((self.actor.idempotency.runs, self.journal.calls[-1]), ({}, ("drop", "b")))

    def test_an_overdue_request_that_cannot_be_failed_leaves_the_others_and_the_timers(self):
        first, second = (self.arrive(request_class=READ) for _ in range(2))
        self.now_ns += READ.deadline_ns + S
        fired = self.actor.controller.now_ns
        responses = self.actor.responses
        responses.fail = raising_once(responses.fail)
        self.post_and_step()
        self.assert_one_fault("overdue_request")
        answered = [request for request in (first, second) if self.answers(request)]
        self.assertEqual(len(answered), 1)
        self.assertEqual(self.answers(answered[0]), [("failed", FailureReason.DEADLINE_PASSED)])
        self.now_ns += TICK_NS
        self.post_and_step()
        self.assertGreater(self.actor.controller.now_ns, fired)

    def test_gauges_that_cannot_be_requested_delay_the_timers_only(self):
        self.actor.request_gauges = raising_once(self.actor.request_gauges)
        self.now_ns += TICK_NS
        self.post_and_step()
        self.assert_one_fault("gauges")
        handled = self.actor.controller.now_ns
        self.now_ns += TICK_NS
        self.post_and_step()
        self.assertGreater(self.actor.controller.now_ns, handled)

    def test_limits_that_cannot_be_evaluated_leave_the_rest(self):
        limiter = mock.Mock()
        limiter.check_arrival.return_value = None
        limiter.estimate_cost.return_value = 1.0
        limiter.evaluate.side_effect = ValueError("injected")
        self.actor.register_limiter(limiter)
        self.now_ns += TICK_NS
        request = self.request(request_class=READ)
        self.post_and_step(RequestArrived(request), GaugesMeasured())
        self.assert_one_fault("limits")
        self.assertEqual(self.started, [request.id])


class RequestTest(CoreTestCase):
    """A part that a request passes raises: it still gets its answer, and its slot is free after it."""

    def setUp(self):
        super().setUp()
        self.actor.log.exception = mock.Mock()

    def assert_free_after(self, request, answer, work="journal"):
        self.assertEqual(self.answers(request), [answer])
        self.assertEqual((self.running(), self.actor.open_requests, self.actor.unanswered), (0, {}, 0))
        self.actor.log.exception.assert_called_once_with("due_work_fault", work=work)

    def test_a_request_that_a_fault_keeps_from_being_tracked_is_failed(self):
        # Guards against a lost request: nobody answered what a fault on arrival kept out of the table.
        fleet = mock.Mock()
        fleet.check_arrival.side_effect = ValueError("injected")
        self.actor.register_fleet_admission(fleet)
        request = self.arrive(request_class=READ)
        self.assertEqual(self.answers(request), [("failed", FailureReason.INTERNAL)])
        self.assertEqual(self.actor.faults.counts, {Fault.MESSAGE: 1})

    def test_an_observer_that_raises_on_arrival_leaves_the_request_to_be_served(self):
        observer = mock.Mock()
        observer.request_arrived.side_effect = ValueError("injected")
        self.actor.register_observer(observer)
        request = self.arrive(request_class=READ)
        self.post_and_step(RunCompleted(request.reference, OK, S))
        self.assert_free_after(request, ("served", b"done"), "observer")

    def test_a_limiter_or_fleet_that_raises_leaves_the_run_to_be_answered(self):
        # Guards against a lost answer and slot: the end of the run was forgotten before its answer was sent.
        for part, work, calls in (
            ("register_limiter", "limiter", ("run_started", "run_ended")),
            ("register_fleet_admission", "fleet_admission", ("run_started", "run_ended")),
        ):
            for call in calls:
                with self.subTest(part=part, call=call):
                    self.setUp()
                    broken = mock.Mock()
                    broken.check_arrival.return_value = broken.evaluate.return_value = None
                    broken.estimate_cost.return_value = 1.0
                    broken.run_ended.return_value = S
                    getattr(broken, call).side_effect = ValueError("injected")
                    getattr(self.actor, part)(broken)
                    request = self.arrive(request_class=READ)
                    self.post_and_step(RunCompleted(request.reference, OK, S))
                    self.assert_free_after(request, ("served", b"done"), work)

    def test_a_filing_whose_intent_cannot_be_queued_is_rejected_and_frees_its_slot(self):
        # Guards against a slot that is lost for good: the filing counted as running and never began.
        self.journal.begin = mock.Mock(side_effect=ValueError("injected"))
        filing = self.arrive()
        self.assert_free_after(filing, ("refused", S))
        self.assertEqual(self.started, [])

    def test_a_result_that_cannot_be_recorded_is_still_sent_also_to_duplicates(self):
        self.journal.end = mock.Mock(side_effect=ValueError("injected"))
        filing = self.arrive()
        duplicate = self.arrive(retry=True)
        self.post_and_step(IntentRecorded(filing.reference, True), RunCompleted(filing.reference, OK, S))
        self.assert_free_after(filing, ("served", b"done"))
        self.assertEqual(self.answers(duplicate), [("served", b"done")])

    def test_a_state_that_cannot_be_taken_over_ends_the_core(self):
        # Guards against a process that serves for good without a controller.
        self.actor.controller = None
        fault = mock.patch.object(self.actor, "start_controller", side_effect=ValueError("injected"))
        with fault, self.assertRaises(ValueError):
            self.post_and_step(StateTransferred(None))


class StuckControllerTest(CoreTestCase):
    """A controller that raises at each timer."""

    def tick(self, count):
        for _ in range(count):
            self.now_ns += 2 * TICK_NS
            self.post_and_step()  # the timer is due, and waits for gauges
            self.post_and_step(GaugesMeasured())

    def test_a_controller_that_fails_at_each_timer_ends_the_core_and_not_one_that_recovers(self):
        # Guards against a worker that says "up" while nothing that depends on time is decided any more.
        self.actor.log.exception = mock.Mock()
        handle = self.actor.controller.handle
        with mock.patch.object(self.actor.controller, "handle", side_effect=ValueError("injected")):
            self.tick(MAX_TIMER_FAULTS - 1)
        self.assertEqual((self.actor.state, self.actor.timer_faults_in_row), ("up", MAX_TIMER_FAULTS - 1))
        self.assertEqual(self.actor.controller.handle, handle)
        self.tick(1)
        self.assertEqual(self.actor.timer_faults_in_row, 0)
        with mock.patch.object(self.actor.controller, "handle", side_effect=ValueError("injected")):
            self.tick(MAX_TIMER_FAULTS)
        self.assertEqual((self.actor.state, self.actor.ended), ("down", True))


class HealthTest(CoreTestCase):
    """A listener raises."""

    def test_a_listener_that_raises_leaves_the_others_informed(self):
        self.actor.log.exception = mock.Mock()
        broken, sound = mock.Mock(), mock.Mock()
        broken.health_changed.side_effect = ValueError("injected")
        for listener in (broken, sound):
            self.actor.register_listener(listener)
        self.actor.end()
        sound.health_changed.assert_called_once_with(False)
        self.actor.log.exception.assert_called_once_with("due_work_fault", work="health_listener")


class WaitEndedError(Exception):
    """Ends the endless wait of a core that has ended."""


class EndedCoreTest(CoreTestCase):
    """A core that has ended."""

    def setUp(self):
        super().setUp()
        self.open_request = self.arrive(request_class=READ)
        self.late = self.request(request_class=READ)
        self.actor.post(RequestArrived(self.late))

    def test_it_is_reported_as_down_and_fails_open_and_new_requests(self):
        # Guards against a worker that says "up" while it decides on nothing.
        actor = self.actor
        self.assertEqual((actor.state, actor.ready, actor.decides), ("up", True, True))
        actor.end()
        self.assertEqual(
            (actor.state, actor.ready, actor.decides, actor.healthy), ("down", False, False, False)
        )
        actor.waker.wait.side_effect = WaitEndedError
        with self.assertRaises(WaitEndedError):
            actor.run_after_end()
        for request in (self.open_request, self.late):
            self.assertEqual(self.answers(request), [("failed", FailureReason.INTERNAL)])

    def test_its_loop_ends(self):
        self.actor.end()
        self.actor.run()
        self.assertFalse(self.answers(self.late))


if __name__ == "__main__":
    unittest.main()
