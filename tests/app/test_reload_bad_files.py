"""Files that are cut or wrong: they change nothing, and are named."""

import random
import tomllib
from collections import Counter

from ochrehoist.lab.toml import toml, toml_file
from tests.app.reload_case import BAD, SEED, Changes, Load, site


class Bad(Changes):
    def turned_down(self, program, content):
        """What the log and `/status` say why."""
        why = program.reload("ajp.toml", content, BAD)["reason"]
        told = self.configuration(program)
        self.assertEqual((told["last"], told["why"]), ("turned down", why))
        return why

    def test_a_file_cut_at_any_byte_changes_nothing_and_says_why(self):
        program, rng = self.start(), random.Random(SEED)
        program.reload("ajp.toml", self.version(program, 1))
        version = self.configuration(program).get("version")
        load, web = Load(program, 1), program.ajp_client()
        self.assertEqual(self.asked(web, "v1", "/v1/x"), 200)  # a new connection may not stay silent
        # Of inline tables: no part of it is a whole file by TOML's grammar.
        whole = tomllib.loads(self.version(program, 2))
        content = "\n".join(f"{key} = {toml(value)}" for key, value in whole.items()).encode()
        cuts = [0, 1, len(content) - 2, *(rng.randrange(2, len(content) - 2) for _ in range(12))]
        for cut in cuts:
            with self.subTest(cut):
                self.assertIn("setting", self.turned_down(program, content[:cut].decode()))
                self.assertEqual([self.asked(web, "v1", "/v1/x"), self.asked(web, "v2", "/v2/x")], [200, 404])
                self.assertEqual(self.configuration(program).get("version"), version)
        self.assertEqual(program.metric("conf_invalid_total"), len(cuts))
        program.reload("ajp.toml", content.decode())
        self.in_force(program, 2)
        self.assertNotEqual(self.configuration(program).get("version"), version)
        load.end()
        self.assertEqual((load.fault, load.kinds), (None, Counter({200: load.asked})))

    def test_a_file_of_a_table_each_cut_at_any_byte_is_turned_down_or_taken_as_it_stands(self):
        """By TOML's grammar it may be a whole file of fewer tenants."""
        program, rng = self.start(), random.Random(SEED)
        load, web = Load(program, 1), program.ajp_client()
        self.assertEqual(self.asked(web, "t1", "/reads/1"), 200)  # a new connection may not stay silent
        content = self.version(program, 1)
        first = content.index("[[settings.Tenants]]")
        for cut in (rng.randrange(first + 2000, len(content)) for _ in range(12)):
            part = content[:cut]
            try:
                tables = tomllib.loads(part)["settings"]["Tenants"]
            except tomllib.TOMLDecodeError:
                tables = []
            with self.subTest(cut, tables=len(tables)):
                if not tables or not {"Name", "QuotaPerS"} <= tables[-1].keys():
                    self.turned_down(program, part)
                    continue
                program.reload("ajp.toml", part)
                self.assertEqual(self.asked(web, tables[-1]["Name"], "/reads/1"), 200)
                self.assertEqual(self.asked(web, "v1", "/v1/x"), 400)
        program.reload("ajp.toml", content)
        self.in_force(program, 1)
        load.end()
        self.assertEqual((load.fault, load.kinds), (None, Counter({200: load.asked})))

    def test_one_bad_tenant_or_rule_among_thousands_is_named_with_its_place(self):
        program = self.start()
        web = program.ajp_client()
        self.serves_as_begun(web)
        for n, key, value in ((2999, "QuotaPerS", "many"), (1500, "Name", 7), (2998, "Name", None)):
            bad = site("v1")
            bad["Tenants"][n] = {k: v for k, v in (bad["Tenants"][n] | {key: value}).items() if v is not None}
            why = self.turned_down(program, toml_file(program.appliance | {"settings": bad}))
            self.assertIn(f"Tenants[{n}]", why)
            self.assertIn(key, why)
            self.serves_as_begun(web)
        twice = site("t17")
        why = self.turned_down(program, toml_file(program.appliance | {"settings": twice}))
        self.assertIn("'t17'", why)
        self.serves_as_begun(web)
        rules = [{"uri": f"/r{n}/*", "class": "read" if n != 700 else "none"} for n in range(800)]
        self.assertIn("rules[702].class", self.turned_down(program, self.text(program, rules=rules)))
        self.serves_as_begun(web)

    def serves_as_begun(self, web):
        """Also keeps the connection: the front ends a new one that sends nothing for 2.5 s."""
        self.assertEqual([self.asked(web, "t17", "/reads/1"), self.asked(web, "v1", "/reads/1")], [200, 400])
