"""Tests of tenant positions over changes of the tenants, and of the compaction of tables."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.core.tenants import MIN_RETIRED_POSITIONS, compacted_table, initial_table, updated_table
from ochrehoist.steps import run_to_completion
from tests.app.tenant_reload import NAMES, tenants


class TenantTableTest(unittest.TestCase):
    """Tenant tables after random and specific changes."""

    @given(st.lists(st.tuples(NAMES, st.sampled_from([1.0, 2.0])), max_size=8))
    def test_over_any_history_tenants_keep_their_positions_also_after_a_removal(self, history):
        table, positions = initial_table(()), {}
        for numbers, quota in history:
            listed = tuple(tenants(numbers, quota))
            before, table = table, run_to_completion(updated_table(table, listed))
            self.assertEqual(table.listed, listed)
            self.assertEqual(set(table.positions), {t.name for t in listed})
            for t in listed:
                self.assertIs(table.get(t.name), table.by_position[table[t.name]])
                self.assertEqual(table.get(t.name), t)
                self.assertEqual(positions.setdefault(t.name, table[t.name]), table[t.name])
            for name, position in positions.items():
                self.assertEqual(table.position(name), position)
                self.assertEqual(table.by_position[position].name, name)
            self.assertEqual(len(table.by_position), len(positions))
            if listed == before.listed:
                self.assertIs(table, before)

    @given(NAMES, NAMES, NAMES)
    def test_a_compacted_table_has_current_tenants_first_and_only_used_removed_ones(self, old, new, used):
        table = run_to_completion(updated_table(initial_table(tenants(old)), tenants(new)))
        names = {f"t{n}" for n in used}
        compacted = run_to_completion(compacted_table(table, names))
        self.assertEqual(compacted.by_position[: len(new)], tenants(new))
        self.assertEqual(set(compacted.retired), {f"t{n}" for n in set(old) - set(new)} & names)
        for name, position in (compacted.positions | compacted.retired).items():
            self.assertEqual(compacted.by_position[position].name, name)

    def test_compaction_is_due_once_removed_tenants_exceed_the_minimum_and_a_tenth(self):
        for kept, removed, due in (
            (0, MIN_RETIRED_POSITIONS, False),
            (0, MIN_RETIRED_POSITIONS + 1, True),
            (20 * MIN_RETIRED_POSITIONS, 2 * MIN_RETIRED_POSITIONS, False),
            (20 * MIN_RETIRED_POSITIONS, 3 * MIN_RETIRED_POSITIONS, True),
        ):
            table = run_to_completion(
                updated_table(initial_table(tenants(range(kept + removed))), tenants(range(kept)))
            )
            self.assertEqual(table.needs_compaction, due, (kept, removed))
