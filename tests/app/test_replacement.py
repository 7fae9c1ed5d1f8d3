"""One process replaced by another under load: both are one worker, whichever of them a request comes to."""

import json
import signal
import socket
import time
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from ochrehoist.admission.settings import RequestClass
from ochrehoist.core.fault_confinement import FaultConfinement
from ochrehoist.core.forwarder import Forwarder
from ochrehoist.core.metrics import Metrics
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.response_tracker import ResponseTracker
from ochrehoist.core.results import FailureReason
from ochrehoist.lab.toml import toml_file
from tests.stand_ins.thrift_router import ThriftRouter
from tests.support.environment import WAIT_LIMIT_S
from tests.support.site_settings import site_settings
from tests.support.worker_cases import WorkerTestCase
from tests.support.worker_process import run_command

S = 1_000_000_000


class ReplacementTestCase(WorkerTestCase):
    """A worker, and one that replaces it."""

    def replaced(self, old, **how):
        """The program that took the place of the old one, which has got its notice."""
        new = self.start(before=old, **how).wait_until_took_over()
        self.assertEqual(new.operator_call()[0], 200)
        old.process.send_signal(signal.SIGTERM)
        return new

    def path(self, program):
        return str(next(Path(program.folder.name).glob("ochrehoist-*")))


class IdempotencyKeysTest(ReplacementTestCase):
    """Idempotency keys over replacements."""

    def test_a_filing_retried_at_each_moment_runs_once_and_every_attempt_gets_its_result(self):
        old = self.start(passed=True)
        router = old.thrift_router()
        tries = {}

        def file(by, token):
            tries.setdefault(token, []).append((by, by.invoke("filing", token.encode(), token=token)))

        file(router, "ended")
        old.kernel.reap(old.kernel.next_run().request_id, body=b"filed ended")
        router.answer(tries["ended"][0][1])
        file(router, "running")
        file(router, "joined")
        file(router, "joined")  # waits for the run, in the process that goes
        runs = {body: rid for rid, _, body in (old.kernel.next_run(), old.kernel.next_run())}
        file(router, "held")
        file(router, "held")  # two cores, both taken
        router.ping()
        new = self.replaced(old)
        second = new.thrift_router()
        for token in ("ended", "running", "joined", "held"):
            file(second, token)
            file(router, token)
        file(router, "late")  # reaches the old one, is decided by the new one, and runs where it was read
        open_ = sum(map(len, tries.values())) - len(tries["ended"])
        new.wait_for(lambda status: status["in_hand"] == str(open_))
        file(second, "late")
        file(second, "new")  # the other way round
        second.ping()
        file(router, "new")
        second.ping()
        for token in ("running", "joined"):
            old.kernel.reap(runs[token.encode()], body=f"filed {token}".encode())
        for kernel, body in ((old.kernel, b"held"), (old.kernel, b"late"), (new.kernel, b"new")):
            rid, _, got = kernel.next_run()  # each where it was read first
            kernel.reap(rid, body=b"filed " + got)
            self.assertEqual(got, body)
        for token, made in tries.items():
            for by, number in made:
                self.assertEqual(by.answer(number), ("Answer", {}, f"filed {token}".encode()), token)
        self.assertTrue(old.kernel.scheduled.empty() and new.kernel.scheduled.empty())
        router.close()
        self.assertEqual(old.wait_for_exit(), 0)
        self.assertEqual(
            sum(p.metric("answered_total", "filing") for p in (new,)) + old.logged("ended")[0]["served"],
            sum(map(len, tries.values())),
        )
        for line in old.log + new.log:
            self.assertNotIn(line["level"], ("error", "critical"), line)

    def test_two_in_a_row_while_the_first_still_answers(self):
        first = self.start(passed=True)
        router = first.thrift_router()
        running = router.invoke("filing", b"doc", token="t")
        rid = first.kernel.next_run().request_id
        second = self.replaced(first)
        between = second.thrift_router()
        other = between.invoke("filing", b"two", token="u")
        second_rid = second.kernel.next_run().request_id
        third = self.replaced(second)
        last = third.thrift_router()
        repeats = [last.invoke("filing", b"doc", token="t"), last.invoke("filing", b"two", token="u")]
        late = router.invoke("filing", b"late", token="v")  # through two processes to the third, and back
        last.ping()
        first.kernel.reap(rid, body=b"filed")
        second.kernel.reap(second_rid, body=b"filed two")
        late_rid = first.kernel.next_run().request_id
        first.kernel.reap(late_rid, body=b"filed late")
        self.assertEqual([router.answer(running)[2], router.answer(late)[2]], [b"filed", b"filed late"])
        self.assertEqual(between.answer(other)[2], b"filed two")
        self.assertEqual([last.answer(n)[2] for n in repeats], [b"filed", b"filed two"])
        self.assertEqual(last.call("filing", b"late", token="v")[2], b"filed late")
        for connection, program in ((router, first), (between, second)):
            connection.close()
            self.assertEqual(program.wait_for_exit(), 0)
        self.assertEqual(third.operator_call()[0], 200)


class DeathsTest(ReplacementTestCase):
    """Processes that die before, within and after a replacement."""

    def test_an_old_process_that_dies_leaves_its_unfinished_filing_counted_as_run(self):
        old = self.start(passed=True)
        router = old.thrift_router()
        router.invoke("filing", b"doc", token="t")
        router.invoke("filing", b"doc", token="t")
        router.invoke(body=b"read")
        old.kernel.next_run()
        new = self.start(before=old).wait_until_took_over()
        old.process.kill()
        again = new.thrift_router()
        self.assertEqual(again.call("filing", b"doc", token="t", again="1")[0], "Broken")
        # What it had begun runs on in the kernel for a while, and is counted so long.
        new.wait_for(lambda status: status["running"] == "0" and status["state"] == "up")
        self.assertEqual(again.call("filing", b"doc", token="t", again="1")[0], "Broken")
        seqid = again.invoke(body=b"read")
        new.kernel.reap(new.kernel.next_run().request_id, body=b"served")
        self.assertEqual(again.answer(seqid)[2], b"served")
        self.assertTrue(new.kernel.scheduled.empty())

    def test_a_new_process_that_fails_before_its_yes_leaves_the_old_one_as_it_was(self):
        old = self.start(passed=True)
        router = old.thrift_router()
        running = router.invoke("filing", b"doc", token="t")
        rid = old.kernel.next_run().request_id
        for last in (b'{"m":"take"}\n', b'{"m":"take"}\n{"m":"no"}\n', b'{"m":"fly"}\n', b"[1]\n", b"x"):
            with socket.socket(socket.AF_UNIX) as link:
                link.settimeout(WAIT_LIMIT_S)
                link.connect(self.path(old))
                link.sendall(last)
                if b"take" in last:
                    self.assertEqual(json.loads(link.makefile().readline())["m"], "state")
        waiting = router.invoke("filing", b"doc", token="t")  # into a core that may still stand still
        old.kernel.reap(rid, body=b"filed")
        self.assertEqual([router.answer(n)[2] for n in (running, waiting)], [b"filed", b"filed"])
        seqid = router.invoke(body=b"read")
        old.kernel.reap(old.kernel.next_run().request_id, body=b"served")
        self.assertEqual(router.answer(seqid)[2], b"served")
        self.assertEqual(old.operator_call()[0], 200)
        self.replaced(old)

    def test_a_new_process_that_dies_after_it_took_over_leaves_the_old_one_to_answer_what_it_runs(self):
        old = self.start(passed=True)
        router = old.thrift_router()
        running = router.invoke("filing", b"doc", token="t")
        rid = old.kernel.next_run().request_id
        new = self.start(before=old).wait_until_took_over()
        new.process.kill()
        new.process.wait()
        while not old.logged("handover_link_ended"):
            router.ping()
        self.assertEqual(router.call("filing", b"doc", token="t")[0], "Broken")  # a refusal would be no proof
        old.kernel.reap(rid, body=b"filed")
        self.assertEqual(router.answer(running), ("Answer", {}, b"filed"))
        router.close()
        self.assertEqual(old.wait_for_exit(), 0)

    def test_a_stale_socket_and_one_that_answers_garbage_are_ignored(self):
        old = self.start(passed=True)
        path = self.path(old)
        old.process.kill()
        old.process.wait()
        self.assertTrue(Path(path).exists())
        new = self.start(before=old)
        new.wait_for(lambda status: status["state"] == "up")
        self.assertEqual([line["requests"] for line in new.logged("took_over")], [])
        self.assertEqual(ThriftRouter(new.addresses["ThriftFront"]).ping()[0], "Answer")


class ReplacementEffectsTest(ReplacementTestCase):
    """Shutdown notices, standby, operators' calls and concurrency over a replacement."""

    def test_the_notice_to_the_replaced_process_reports_no_leave_and_waiting_requests_go_to_the_new_one(self):
        old = self.start(passed=True)
        old.members.wait_for("UP")
        check, router = old.thrift_router(), old.thrift_router()
        check.ping()
        seqid = router.invoke(body=b"doc")
        rid = old.kernel.next_run().request_id
        new = self.replaced(old)
        new.members.wait_for("UP")
        check.ping()
        self.assertTrue(check.good)
        fresh = ThriftRouter(old.addresses["ThriftFront"])  # the same address
        number = fresh.invoke(body=b"to the new one")
        self.assertEqual(new.kernel.next_run().body, b"to the new one")
        fresh.abort(number)
        began = time.monotonic()
        old.kernel.reap(rid, body=b"answered")
        self.assertEqual(router.answer(seqid)[2], b"answered")
        router.farewell()
        check.farewell()
        self.assertEqual(old.wait_for_exit(), 0)
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertEqual([r for r in old.members.reports.queue if r[1] == "OUT"], [])
        self.assertEqual(new.process.poll(), None)

    def test_standby_goes_on_in_the_new_process_which_is_ready_all_the_same(self):
        old = self.start(passed=True)
        old.operator_call("POST", "/standby")
        new = self.replaced(old)
        self.assertEqual(json.loads(new.operator_call()[1])["state"], "standby")
        check = new.thrift_router()
        check.ping()
        self.assertFalse(check.good)
        new.operator_call("POST", "/active")
        check.ping()
        self.assertTrue(check.good)
        new.operator_call("POST", "/standby")
        self.assertEqual(new.operator_call()[0], 503)

    def test_a_call_to_the_replaced_process_reaches_the_new_one_and_its_status_is_not_ready(self):
        old = self.start(passed=True)
        router = old.thrift_router()
        router.invoke()
        old.kernel.next_run()
        new = self.start(before=old).wait_until_took_over()
        status, text = old.operator_call()
        self.assertEqual((status, json.loads(text)["state"]), (503, "replaced"))
        self.assertEqual(old.operator_call("POST", "/standby")[0], 200)
        new.wait_for(lambda said: said["state"] == "standby")

    def test_concurrency_of_both_processes_stays_under_the_survivable_concurrency(self):
        site = site_settings()
        site["Rules"]["TipMultiple"] = 1.5  # two runs at most, also once the worker is warm
        old = self.start(passed=True, site=site, stop_ms=30_000)
        router = old.thrift_router()
        for _ in range(2):
            router.invoke()
        runs = [old.kernel.next_run().request_id for _ in range(2)]
        new = self.replaced(old, site=site, stop_ms=30_000)
        other = new.thrift_router()
        self.assertEqual(json.loads(new.operator_call()[1])["running"], 2)
        held = other.invoke()
        other.ping()
        self.assertTrue(new.kernel.scheduled.empty())  # two cores, both at work for the old one
        old.kernel.reap(runs[0], body=b"one")
        rid = new.kernel.next_run().request_id
        new.kernel.reap(rid, body=b"two")
        self.assertEqual(other.answer(held)[2], b"two")


class ApplianceReplacementTest(ReplacementTestCase):
    """Replacement of a worker that serves AJP."""

    def test_listening_sockets_keys_and_responses_go_over_to_the_new_one_on_ajp(self):
        old = self.start(thrift=False, ajp=True)
        key = {"Idempotency-Key": "f1", "X-Tenant": "acme"}
        web, idle = old.ajp_client(), old.ajp_client()
        web.request("POST", "/filings", key, b"doc")
        respond = old.server.next_request().respond
        at = {part: f"{host}:{port}" for part, (host, port) in old.addresses.items()}
        new = self.start(
            thrift=False,
            ajp=True,
            before=old,
            appliance=toml_file(
                old.appliance
                | {
                    "ajp": old.appliance["ajp"] | {"listen": at["AjpFront"]},
                    "admin": at["Operators"],
                    "console": {"agent_check": at["AgentCheck"]},
                }
            ),
        )
        new.wait_until_took_over()
        self.assertEqual(new.addresses, old.addresses)
        repeat = new.ajp_client()
        repeat.request("POST", "/filings", key, b"doc")
        new.wait_for(lambda status: status["in_hand"] == "2")
        respond(200, b"filed")
        self.assertEqual((web.answer()[::2], web.reuse), ((200, b"filed"), False))
        self.assertEqual(repeat.answer(), (200, {"X-Made-By": "server"}, b"filed"))
        self.assertEqual(
            new.ajp_client().call("POST", "/filings", key, b"doc"), (200, {"X-Made-By": "server"}, b"filed")
        )
        self.assertTrue(old.server.received.empty() and new.server.received.empty())
        idle.close()
        self.assertEqual(old.wait_for_exit(), 0)

    def test_both_wires_at_once(self):
        old = self.start(ajp=True, passed=True)
        key = {"Idempotency-Key": "f1", "X-Tenant": "acme"}
        router, web = old.thrift_router(), old.ajp_client()
        first = router.invoke("filing", b"doc", token="f1")
        rid = old.kernel.next_run().request_id
        web.request("POST", "/filings", key, b"doc")
        router.ping()
        new = self.replaced(old, ajp=True)
        late = ThriftRouter(new.addresses["ThriftFront"])
        repeat = late.invoke("filing", b"doc", token="f1", again="1")
        late.ping()
        old.kernel.reap(rid, body=b"filed")
        self.assertEqual(
            (router.answer(first)[2], web.answer()[::2], late.answer(repeat)[2]),
            (b"filed", (200, b"filed"), b"filed"),
        )
        self.assertEqual(new.ajp_client().call("POST", "/filings", key, b"doc")[::2], (200, b"filed"))
        self.assertTrue(new.kernel.scheduled.empty() and new.server.received.empty())


class PassedSocketTest(ReplacementTestCase):
    """The descriptor of a listening socket that is passed in."""

    def test_a_descriptor_that_does_not_listen_there_is_named(self):
        old = self.start(passed=True)
        for value in ("four", "99", "0"):
            env = old.env | {"EDGE_PASSED_SOCKET": value}
            done = run_command(env=env)
            self.assertEqual(done.returncode, 2)
            self.assertIn("setting EDGE_PASSED_SOCKET", done.stderr)


if __name__ == "__main__":
    unittest.main()


class Ends(unittest.TestCase):
    """What is left of a core that was replaced, on explicit time."""

    def test_what_has_no_answer_when_the_process_ends_is_failed_before_and_not_dropped(self):
        read = RequestClass(name="read", latency_objective_ns=S, deadline_ns=9 * S)
        told = []
        responder = SimpleNamespace(failed=lambda reason, result=None: told.append(reason))
        now = [0]
        for ends_at, want in ((None, []), (3 * S, [FailureReason.DEADLINE_PASSED])):
            with self.subTest(ends_at=ends_at):
                told.clear()
                r = InboundRequest("r1", read, 0, None, responder, None, due_ns=9 * S, started=True)
                answers = ResponseTracker(Metrics(["read"]), mock.Mock())
                faults = FaultConfinement(mock.Mock())
                f = Forwarder(
                    {"r1": r}, lambda line: None, mock.Mock(), answers, faults, lambda: now[0], lambda: 0
                )
                if ends_at is not None:
                    f.set_process_end(ends_at)
                for at in (1, 2, 3):
                    now[0] = at * S
                    f.tick()
                self.assertEqual(told, want)
