"""Many processes restarted at one moment: each is ready when it says so, and soon (RESTARTED=30 for many).

RESTARTED=30 python -m pytest -q -s tests/app/test_readiness.py
"""

import os
import shutil
import signal
import statistics
import tempfile
import threading
import time

from tests.stand_ins.membership_service import MembershipService
from tests.support.worker_cases import WorkerTestCase

COUNT = int(os.environ.get("RESTARTED", "4"))
NINE_IN_TEN, EACH = 10.0, 30.0  # s from the start of a process

SLOW = 2.0  # s that a store takes to open
SLOW_DISK = f"""
import time
from ochrehoist.store import folder_session
plain = folder_session.open_store
def open_store(*args):
    time.sleep({SLOW})
    return plain(*args)
folder_session.open_store = open_store
"""


class RestartedTest(WorkerTestCase):
    """Workers restarted at one moment."""

    def restarted(self, lost=False, stores=False, **how):
        """All start, are killed at one moment and started again; those, and the least time that one took."""
        programs, again, took = [], [], []

        def start(store, **more):
            if stores:
                more["state"] = {"folder": store}
            began = time.monotonic()
            program = self.start(**how, **more)
            while program.operator_call()[0] != 200:
                self.assertLess(time.monotonic() - began, EACH)
            took.append(time.monotonic() - began)
            return program, store

        def together(call, over):
            threads = [threading.Thread(target=call, args=one) for one in over]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

        base = self.enterContext(tempfile.TemporaryDirectory())
        together(lambda n: programs.append(start(f"{base}/{n}")), [(n,) for n in range(COUNT)])
        self.assertEqual(len(programs), COUNT)
        for program, _ in programs:
            program.process.send_signal(signal.SIGKILL)
        for program, store in programs:
            program.process.wait()
            if lost:
                shutil.rmtree(store)
        took.clear()
        together(lambda old, store: again.append(start(store, before=old)[0]), programs)
        self.assertEqual(len(again), COUNT)
        took.sort()
        print(f"\n{self.id().split('.')[-1]}: {COUNT} processes")
        print(
            f"ready after p50 {statistics.median(took):.2f}, p90 {took[int(0.9 * (COUNT - 1))]:.2f}, "
            f"all {took[-1]:.2f} s"
        )
        self.assertLess(took[int(0.9 * (COUNT - 1))], NINE_IN_TEN)
        self.assertLess(took[-1], EACH)
        return again, took[0]

    def test_workers_of_the_platform_while_the_list_is_down_serve_once_they_say_so(self):
        down = MembershipService()
        down.refuse()
        for program in self.restarted(members=down)[0]:
            program.serve_one(program.thrift_router())

    def web(self, **how):
        programs, least = self.restarted(thrift=False, ajp=True, stores=True, **how)
        for program in programs:
            client = program.ajp_client()
            client.request()
            program.server.next_request().respond(data=b"served")
            self.assertEqual(client.answer()[2], b"served")
        return least

    def test_appliances_with_their_stores(self):
        self.web()

    def test_appliances_whose_stores_are_lost(self):
        self.web(lost=True)

    def test_appliances_whose_disks_are_slow_say_so_no_sooner_than_they_take_clients(self):
        self.assertGreater(self.web(fault=SLOW_DISK), SLOW)
