"""Many changes in short order: the newest is in force, and no mix of two."""

import json
import random
import time
from collections import Counter
from pathlib import Path

from tests.app.reload_case import SEED, Changes, Load
from tests.support.environment import WAIT_LIMIT_S


class Storm(Changes):
    def test_under_a_storm_of_orders_the_newest_is_in_force_and_each_request_has_one_answer(self):
        program, rng = self.start(), random.Random(SEED)
        loads = [Load(program, n) for n in range(4)]
        web = program.ajp_client()
        self.assertEqual(self.asked(web, "t1", "/reads/1"), 200)  # a new connection may not stay silent
        for number in range(1, 61):
            self.replace(program, self.version(program, number))
            for _ in range(rng.randrange(1, 4)):
                self.order(program)
            self.asked(web, f"v{number}", f"/v{number}/x")
        self.in_force(program, 60)
        self.assertEqual([self.asked(web, "v60", "/v59/x"), self.asked(web, "v59", "/v60/x")], [404, 400])
        for load in loads:
            load.end()
            self.assertEqual((load.fault, load.kinds), (None, Counter({200: load.asked})))
            self.assertGreater(load.asked, 0)
        self.assertEqual(program.metric("conf_invalid_total"), 0)
        self.assertEqual(json.loads(program.operator_call()[1])["in_hand"], 0)
        # Nothing waits to be read that would undo it: one more is told of as ever.
        program.reload("ajp.toml", self.version(program, 61))
        self.in_force(program, 61)

    def test_no_request_is_served_by_half_of_a_change(self):
        program = self.start()
        self.replace(program, self.version(program, 0))
        self.order(program)
        self.in_force(program, 0)
        web, kinds = program.ajp_client(), Counter()
        self.assertEqual(self.asked(web, "v0", "/v0/x"), 200)  # a new connection may not stay silent
        for number in range(1, 13):
            self.replace(program, self.version(program, number))
            self.order(program)
            until = time.monotonic() + WAIT_LIMIT_S
            while self.asked(web, f"v{number}", f"/v{number}/x") != 200:
                self.assertLess(time.monotonic(), until)
                for tenant, route in ((number, number - 1), (number - 1, number)):
                    kinds[self.asked(web, f"v{tenant}", f"/v{route}/x")] += 1
        self.assertLessEqual(set(kinds), {400, 404})
        self.assertTrue(kinds)

    def test_a_file_replaced_or_written_over_while_it_is_read(self):
        program, rng = self.start(), random.Random(SEED)
        path, load = Path(program.folder.name, "ajp.toml"), Load(program, 1)
        for number in range(1, 25):
            content = self.version(program, number)
            self.order(program)
            if number % 2:
                path.write_text(content)  # as a careless tool does: whoever reads meanwhile sees a part
            else:
                with path.open("r+") as file:
                    at = rng.randrange(len(content))
                    file.write(content[:at])
                    file.flush()
                    self.order(program)
                    file.write(content[at:])
                    file.truncate()
            self.order(program)
        self.in_force(program, 24)
        self.assertEqual(self.configuration(program)["last"], "taken")
        load.end()
        self.assertEqual((load.fault, load.kinds), (None, Counter({200: load.asked})))
