"""The commands of `ochrehoist state`."""

import json
import signal
from pathlib import Path

from tests.store.worker_state_case import WorkerStateTestCase
from tests.support.worker_process import run_command


class StateCommandsTest(WorkerStateTestCase):
    """Commands on the folder of a running and of a stopped worker."""

    def run_state_command(self, *arguments):
        return run_command("state", *arguments, "--folder", str(self.folder))

    def test_show_and_check_work_during_operation_and_other_commands_need_a_stopped_worker(self):
        program = self.start()
        client = program.ajp_client()
        for n in range(3):
            self.send_filing(client, f"k{n}")
            program.server.next_request().respond(data=b"result %d" % n)
            client.answer()
        self.wait_for_operations(program, 6)
        description = json.loads(self.run_state_command("show", "--json").stdout)
        self.assertEqual(
            (description["filings"], description["with_result"], description["state"]), (3, 3, "sound")
        )
        self.assertIn(str(program.process.pid), description["held_by"])
        completed = self.run_state_command("check")
        self.assertEqual((completed.returncode, completed.stdout), (0, "sound\n"))
        for arguments in (("export", "-"), ("compact",)):
            completed = self.run_state_command(*arguments)
            self.assertEqual(completed.returncode, 1)
            self.assertIn(f"in use by process {program.process.pid}", completed.stderr)
        self.kill(program)
        self.assertEqual(self.run_state_command("compact").returncode, 0)
        export_file = str(self.base / "moved.jsonl")
        self.assertIn("3 filings", self.run_state_command("export", export_file).stderr)
        self.folder = self.base / "another machine"
        completed = self.run_state_command("import", export_file)
        self.assertEqual(
            (completed.returncode, completed.stdout), (0, "0 filings before, 3 now\n"), completed.stderr
        )
        second = self.start()
        client = second.ajp_client()
        for n in range(3):
            self.send_filing(client, f"k{n}")
            self.assertEqual(client.answer()[2], b"result %d" % n)
        self.kill(second)
        lines = Path(export_file).read_bytes().splitlines(True)
        for invalid_lines in (lines[:-1], lines[1:], lines[:2] + lines[3:], [b"x\n", *lines], []):
            Path(export_file).write_bytes(b"".join(invalid_lines))
            completed = self.run_state_command("import", export_file)
            self.assertEqual(completed.returncode, 1)
            self.assertIn("line ", completed.stderr)

    def test_check_of_a_damaged_store_exits_with_3_and_show_without_a_folder_with_1(self):
        self.assertEqual(self.run_state_command("show").returncode, 1)
        program = self.start()
        client = program.ajp_client()
        self.send_filing(client, "k")
        program.server.next_request().respond(data=b"result")
        client.answer()
        program.process.send_signal(signal.SIGTERM)
        program.wait_for_exit()
        path = next(p for p in self.folder.iterdir() if p.suffix == ".db")
        data = bytearray(path.read_bytes())
        outcome_offset = data.find(b"OK")
        data[outcome_offset] ^= 1
        path.write_bytes(data)
        completed = self.run_state_command("check")
        self.assertEqual(completed.returncode, 3)
        self.assertIn("damaged", completed.stdout)
