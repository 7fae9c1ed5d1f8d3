"""The commands of `ochrehoist state`."""

import json
import signal
from pathlib import Path

from tests.store.worker_state_case import State
from tests.support.worker_process import run_command


class Tools(State):
    def state(self, *words):
        return run_command("state", *words, "--folder", str(self.folder))

    def test_show_and_check_work_beside_a_running_worker_and_the_rest_on_a_stopped_one(self):
        program = self.start()
        client = program.ajp_client()
        for n in range(3):
            self.file(client, f"k{n}")
            program.server.next_request().respond(data=b"result %d" % n)
            client.answer()
        self.recorded(program, 6)
        shown = json.loads(self.state("show", "--json").stdout)
        self.assertEqual((shown["filings"], shown["with_result"], shown["state"]), (3, 3, "sound"))
        self.assertIn(str(program.process.pid), shown["held_by"])
        done = self.state("check")
        self.assertEqual((done.returncode, done.stdout), (0, "sound\n"))
        for words in (("export", "-"), ("compact",)):
            done = self.state(*words)
            self.assertEqual(done.returncode, 1)
            self.assertIn(f"in use by process {program.process.pid}", done.stderr)
        self.kill(program)
        self.assertEqual(self.state("compact").returncode, 0)
        moved = str(self.base / "moved.jsonl")
        self.assertIn("3 filings", self.state("export", moved).stderr)
        self.folder = self.base / "another machine"
        done = self.state("import", moved)
        self.assertEqual((done.returncode, done.stdout), (0, "0 filings before, 3 now\n"), done.stderr)
        second = self.start()
        client = second.ajp_client()
        for n in range(3):
            self.file(client, f"k{n}")
            self.assertEqual(client.answer()[2], b"result %d" % n)
        self.kill(second)
        lines = Path(moved).read_bytes().splitlines(True)
        for bad in (lines[:-1], lines[1:], lines[:2] + lines[3:], [b"x\n", *lines], []):
            Path(moved).write_bytes(b"".join(bad))
            done = self.state("import", moved)
            self.assertEqual(done.returncode, 1)
            self.assertIn("line ", done.stderr)

    def test_damage_ends_with_three_and_no_folder_with_one(self):
        self.assertEqual(self.state("show").returncode, 1)
        program = self.start()
        client = program.ajp_client()
        self.file(client, "k")
        program.server.next_request().respond(data=b"result")
        client.answer()
        program.process.send_signal(signal.SIGTERM)
        program.wait_for_exit()
        path = next(p for p in self.folder.iterdir() if p.suffix == ".db")
        data = bytearray(path.read_bytes())
        at = data.find(b"OK")
        data[at] ^= 1
        path.write_bytes(data)
        done = self.state("check")
        self.assertEqual(done.returncode, 3)
        self.assertIn("damaged", done.stdout)
