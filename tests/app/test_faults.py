"""Faults inside the decision module, put there as the real program starts, and in what the codecs read."""

import json
import signal
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.net import ajp, thrift
from tests.support.environment import DUE_WITHIN_S
from tests.support.site_settings import short_deadline_settings
from tests.support.worker_cases import WorkerTestCase

FAULT = """
from ochrehoist.admission import controller, events
handle, seen = controller.AdmissionController.handle, []
def broken(self, now, event):
    if isinstance(event, events.TimerFired) and len(seen) < 3 and not seen.append(event):
        raise RuntimeError("an alarm")
    if isinstance(event, events.RequestReceived) and event.routing_key == "fault":
        handle(self, now, event)
        raise RuntimeError("a request, half way")
    return handle(self, now, event)
controller.AdmissionController.handle = broken
"""


class DecisionFaultTest(WorkerTestCase):
    """Exceptions in the admission controller."""

    def test_a_fault_is_logged_with_its_trace_and_each_request_still_gets_one_answer(self):
        program = self.start(fault=FAULT, site=short_deadline_settings())
        router, began = program.thrift_router(), time.time()
        seqid = router.invoke(obj="fault")
        self.assertEqual(router.answer(seqid)[0], "Broken")
        self.assertLess(time.time() - began, 1.0)
        served, late = router.invoke(body=b"good"), router.invoke(body=b"late")
        runs = {body: rid for rid, _, body in (program.kernel.next_run(), program.kernel.next_run())}
        program.kernel.reap(runs[b"good"], body=b"served")
        self.assertEqual(router.answer(served)[2], b"served")
        self.assertEqual(router.answer(late)[0], "Broken")  # alarms rang on after the three that failed
        self.assertLess(time.time() - began, DUE_WITHIN_S)
        self.assertEqual(router.ping()[0], "Answer")
        faults = program.logged("controller_fault")
        self.assertEqual(len(faults), 4)
        self.assertTrue(all("Traceback" in fault["exception"] for fault in faults))


CLOCK = """
import os, time
real, flag = time.time_ns, os.path.join(os.path.dirname(__file__), "set")
time.time_ns = lambda: real() - 3_600_000_000_000 * os.path.exists(flag)
"""


# What the platform refuses: starting programs, splice, sendfile, and here sockets within the machine too.
NARROW = """
import errno, os, socket, _socket, _posixsubprocess
def refused(name):
    def call(*args, **more):
        print('{"event": "refused a call", "call": "%s"}' % name, file=__import__("sys").stderr, flush=True)
        raise OSError(errno.ENOSYS, os.strerror(errno.ENOSYS))
    return call
for name in ("fork", "forkpty", "posix_spawn", "posix_spawnp", "execv", "execve", "system", "sendfile",
             "splice", "memfd_create", "pidfd_open"):
    if hasattr(os, name):
        setattr(os, name, refused(name))
_posixsubprocess.fork_exec = refused("fork_exec")
plain = _socket.socket.__init__
class Narrow(socket.socket):
    def __init__(self, family=-1, *args, **more):
        if family == socket.AF_UNIX:
            raise OSError(errno.EAFNOSUPPORT, os.strerror(errno.EAFNOSUPPORT))
        super().__init__(family, *args, **more)
socket.socket = Narrow
"""


class EnvironmentTest(WorkerTestCase):
    """Calls that the platform refuses, a clock that is set back, and a log that nobody reads."""

    def test_no_call_is_made_that_the_platform_refuses_and_a_refused_socket_costs_replacement_only(self):
        program = self.start(fault=NARROW)
        router = program.thrift_router()
        for kind in ("read", "filing"):
            seqid = router.invoke(kind, b"doc", token=kind)
            program.kernel.reap(program.kernel.next_run().request_id, body=b"made")
            self.assertEqual(router.answer(seqid)[2], b"made")
        program.reload("config.json", json.dumps(program.config | {"stop_ms": 2400}))
        self.assertEqual(program.operator_call("POST", "/standby")[0], 200)
        program.process.send_signal(signal.SIGTERM)
        router.farewell()
        self.assertEqual(program.wait_for_exit(), 0)
        self.assertEqual(program.logged("refused a call"), [])
        self.assertEqual(len(program.logged("handover_unavailable")), 1)

    def test_a_clock_that_is_set_back_puts_off_no_answer(self):
        program = self.start(fault=CLOCK, site=short_deadline_settings())
        router = program.thrift_router()
        self.assertEqual(router.ping()[0], "Answer")
        program.write_file("set", "")
        began = time.time()
        seqid = router.invoke(t0=str(int((began - 3600) * 1000)))
        program.kernel.next_run()  # it was in time, by the clock as it is now
        self.assertEqual(router.answer(seqid)[0], "Broken")
        self.assertGreater(time.time() - began, 1.0)
        self.assertLess(time.time() - began, DUE_WITHIN_S)

    def test_a_log_that_nobody_reads_holds_up_no_one(self):
        program = self.start(stall_log=True)
        for _ in range(1200):  # a line of the log each, far more than a pipe takes
            bad = program.thrift_router()
            bad.sock.sendall(b"\0\0\0\4junk")
            self.assertEqual(bad.sock.recv(1), b"")
            bad.close()
        self.assertEqual(program.thrift_router().ping()[0], "Answer")


FORWARD = b"".join(
    [
        b"\2\2",
        *(ajp.encode_string(text) for text in (b"HTTP/1.1", b"/a", b"1", b"h", b"s")),
        b"\0\x50\0\0\2\xa0\x08",
        *(ajp.encode_string(text) for text in (b"5", b"x", b"y")),
        b"\x05",
        ajp.encode_string(b"q"),
        b"\x0a",
        ajp.encode_string(b"n"),
        ajp.encode_string(b"v"),
        b"\x0b\0\1\x0c",
        ajp.encode_string(b"secret"),
        b"\xff",
    ]
)
INVOKE = thrift.encode_message(
    thrift.CALL,
    b"invoke",
    1,
    b"".join(
        (
            thrift.encode_field(thrift.MAP, 1, thrift.encode_string_map({b"a": b"b"})),
            thrift.encode_field(thrift.STRING, 2, thrift.encode_string(b"x")),
            thrift.STRUCT_END,
        )
    ),
)[4:]
DAMAGE = st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=4)


def damaged(data, damage, end):
    data = bytearray(data)
    for at, byte in damage:
        data[at % len(data)] = byte
    return bytes(data[: len(data) - end])


class DamagedInputTest(unittest.TestCase):
    """Damaged AJP and Thrift messages."""

    def test_what_is_not_damaged_is_read(self):
        f = ajp.parse_forward(FORWARD)
        self.assertEqual((f.method, f.uri, f.length, f.secret), ("GET", b"/a", 5, b"secret"))
        self.assertEqual(f.payload_for_server(b"secret"), FORWARD)
        self.assertNotIn(b"secret", f.payload_for_server(None))

    @given(DAMAGE, st.integers(0, 30))
    def test_damaged_ajp_is_read_or_refused(self, damage, end):
        try:
            f = ajp.parse_forward(damaged(FORWARD, damage, end))
        except ajp.MalformedPacketError:
            return
        self.assertTrue(f.method)
        self.assertGreaterEqual(f.length, 0)

    @given(DAMAGE, st.integers(0, 30))
    def test_damaged_thrift_is_read_or_refused(self, damage, end):
        try:
            m = thrift.parse_message(damaged(INVOKE, damage, end))
            for kind, number in m.args.read_fields():
                if (kind, number) == (thrift.MAP, 1):
                    self.assertLessEqual(len(m.args.read_string_map()), 1)
                else:
                    m.args.skip(kind)
        except thrift.MalformedFrameError:
            return
        self.assertLessEqual(m.args.position, len(INVOKE))


if __name__ == "__main__":
    unittest.main()
