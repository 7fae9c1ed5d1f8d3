"""Tasks that fail in a real process, by faults that are put there as it starts."""

import json
import socket
import time
import unittest
from pathlib import Path

from tests.support.environment import WAIT_LIMIT_S
from tests.support.worker_cases import WorkerTestCase

EXIT_WITHIN_S = 1.0
POLL_INTERVAL_S = 0.02

# Raises once the file `fail` is there; {place} is what raises, a function without arguments.
FAULT = """
import os
from ochrehoist.admission import controller, events
from ochrehoist.app import kernel_link_supervisor
from ochrehoist.core import deadlines
from ochrehoist.net import handover_client, kernel_link, membership_heartbeat, thrift_front
flag = os.path.join(os.path.dirname(__file__), "fail")
sound = {place}
def broken(self, *args):
    if os.path.exists(flag):
        raise RuntimeError("injected")
    return sound(self, *args)
{place} = broken
"""
CORE_LOOP = FAULT.format(place="deadlines.Deadlines.next_due_ns")
TICKS = FAULT.format(place="controller.AdmissionController._HANDLERS[events.TimerFired]")
KERNEL_LINK = FAULT.format(place="kernel_link.KernelLink._link_lost")
HEARTBEAT = FAULT.format(place="membership_heartbeat.MembershipHeartbeat._encode")
LINK_CHECK = FAULT.format(place="kernel_link_supervisor.KernelLinkSupervisor._check")
SWEEP = FAULT.format(place="thrift_front.ThriftFront._end_if_idle")


class EndedTaskTest(WorkerTestCase):
    """Processes without which no request is decided on any more, or run."""

    def assert_ends_with_an_error(self, program):
        """Waits for the report of the failure, and checks that the process ends in time after it."""
        program.wait_until_logged("essential_task_ended")
        began = time.monotonic()
        self.assertEqual(program.wait_for_exit(), 1)
        self.assertLess(time.monotonic() - began, EXIT_WITHIN_S)

    def test_a_core_that_ends_is_reported_down_and_ends_its_process(self):
        # Guards against a worker that says "up" while it decides on nothing.
        program = self.start(ajp=True, fault=CORE_LOOP)
        router = program.thrift_router()
        open_request = router.invoke(body=b"open")
        program.kernel.next_run()
        program.write_file("fail", "")
        waiting = router.invoke(body=b"new")  # the core handles it, and then raises
        program.wait_until_logged("essential_task_ended")
        began = time.monotonic()
        status, text = program.operator_call()
        self.assertEqual((status, json.loads(text)["state"]), (503, "down"))
        program.members.wait_for("OUT")
        with socket.create_connection(program.addresses["AgentCheck"], WAIT_LIMIT_S) as check:
            self.assertEqual(check.recv(100), b"down\n")
        kinds = {router.answer(sequence_id)[0] for sequence_id in (open_request, waiting)}
        self.assertEqual(kinds, {"Broken"})
        self.assertEqual(program.wait_for_exit(), 1)
        self.assertLess(time.monotonic() - began, EXIT_WITHIN_S)
        self.assertEqual([entry["task"] for entry in program.logged("task_fault")], ["CoreActor.run"])

    def test_a_controller_that_fails_at_each_timer_ends_its_process(self):
        program = self.start(fault=TICKS)
        program.write_file("fail", "")
        self.assert_ends_with_an_error(program)
        self.assertEqual(len(program.logged("controller_stuck")), 1)

    def test_a_kernel_link_that_ends_ends_its_process(self):
        program = self.start(fault=KERNEL_LINK)
        program.write_file("fail", "")
        program.kernel.out.shutdown(socket.SHUT_RDWR)
        self.assert_ends_with_an_error(program)

    def test_a_process_that_is_slow_to_close_its_parts_is_killed(self):
        slow = CORE_LOOP + (
            "from ochrehoist.app import worker_parts\nimport time\n"
            "worker_parts.WorkerParts.close = lambda self: time.sleep(60)\n"
        )
        program = self.start(fault=slow)
        program.write_file("fail", "")
        router = program.thrift_router()
        router.invoke()
        program.wait_until_logged("essential_task_ended")
        began = time.monotonic()
        self.assertLess(program.wait_for_exit(), 0)  # ended by a signal
        self.assertLess(time.monotonic() - began, EXIT_WITHIN_S)


class ConfinedFaultTest(WorkerTestCase):
    """Faults that end neither a task nor the process."""

    def wait_until_logged_twice(self, program, event):
        until = time.monotonic() + WAIT_LIMIT_S
        while len(program.logged(event)) < 2:
            self.assertLess(time.monotonic(), until, program.log)
            time.sleep(POLL_INTERVAL_S)

    def serves(self, program):
        program.serve_one(program.thrift_router())

    def test_a_heartbeat_that_raises_is_sent_again(self):
        program = self.start(fault=HEARTBEAT)
        program.write_file("fail", "")
        program.wait_until_logged("membership_fault")
        while not program.members.reports.empty():
            program.members.reports.get()
        Path(program.folder.name, "fail").unlink()
        program.members.wait_for("UP")
        self.serves(program)

    def test_a_check_of_the_kernel_link_that_raises_is_made_again(self):
        program = self.start(fault=LINK_CHECK)
        program.write_file("fail", "")
        self.wait_until_logged_twice(program, "kernel_link_check_fault")
        self.serves(program)

    def test_a_sweep_of_the_connections_that_raises_is_made_again(self):
        # Guards against idle connections that are never ended: the sweep that raised was the last one.
        program = self.start(fault=SWEEP)
        router = program.thrift_router()
        router.ping()
        program.write_file("fail", "")
        self.wait_until_logged_twice(program, "callback_fault")
        self.serves(program)


if __name__ == "__main__":
    unittest.main()
