"""Changes of tenants under a worker of the platform."""

import json
import os
import signal
from pathlib import Path

from tests.support.environment import WAIT_LIMIT_S
from tests.support.site_settings import site_settings
from tests.support.worker_cases import WorkerTestCase


class PlatformReloadTest(WorkerTestCase):
    """Changes before the kernel is up, of tenants, and beside a second process."""

    def content(self, program, **changes):
        return json.dumps(program.config | {"settings": site_settings(**changes)})

    def replace(self, program, content):
        os.replace(program.write_file("new", content), Path(program.folder.name, "config.json"))
        program.process.send_signal(signal.SIGHUP)

    def test_a_change_before_the_kernel_is_up_is_in_force_once_it_is(self):
        program = self.start(boot=False)
        said = program.reload(
            "config.json",
            self.content(program, Tenants=[{"Name": "later", "QuotaPerS": 1.0, "Fraction": 1.0}]),
        )
        program.kernel.boots = True
        program.kernel.drop_connections()
        program.kernel.opened.get(timeout=WAIT_LIMIT_S)
        program.wait_for(lambda status: status["state"] == "up")
        program.serve_one(program.thrift_router(), acct="later")
        status = json.loads(program.operator_call()[1])["configuration"]
        self.assertEqual((status["version"], status["last"]), (said["version"], "taken"))

    def test_removed_tenants_stay_known_to_the_thrift_front_without_a_new_controller(self):
        program = self.start()
        router = program.thrift_router()
        filing = router.invoke("filing", b"doc", token="t")
        rid = program.kernel.next_run().request_id
        program.reload(
            "config.json",
            self.content(program, Tenants=[{"Name": "other", "QuotaPerS": 1.0, "Fraction": 1.0}]),
        )
        again = router.invoke("filing", b"doc", token="t", again="1")
        program.serve_one(router, acct="other")
        program.kernel.reap(rid, body=b"filed")
        self.assertEqual([router.answer(n)[2] for n in (filing, again)], [b"filed", b"filed"])
        self.assertEqual(program.logged("settings_changed"), [])

    def test_a_reload_is_carried_out_by_the_process_that_decides(self):
        old = self.start()
        router = old.thrift_router()  # stays open: a filing whose router left before it was read is not run
        router.invoke("filing", b"doc", token="t")  # which keeps it from ending meanwhile
        old.kernel.next_run()
        version = json.loads(old.operator_call()[1])["configuration"]["version"]
        new = self.start(before=old)
        new.wait_until_took_over()
        self.replace(old, self.content(old, Tenants=[{"Name": "new", "QuotaPerS": 1.0, "Fraction": 1.0}]))
        new.process.send_signal(signal.SIGHUP)
        new.wait_for(lambda status: "'last': 'taken'" in status["configuration"])
        configuration = json.loads(old.operator_call()[1])["configuration"]
        self.assertEqual((configuration["version"], configuration["last"]), (version, "start"))
