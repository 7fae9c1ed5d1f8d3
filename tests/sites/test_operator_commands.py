"""Commands of operators: the last one counts, everywhere."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.sites import site_report
from ochrehoist.sites.operator_commands import DURATION_S, CommandKind, OperatorCommands
from ochrehoist.sites.site_report import CommandEntry, SiteReport


class TheOperatorCommands(unittest.TestCase):
    @given(st.permutations(range(4)), st.lists(st.integers(0, 3), max_size=8))
    def test_whatever_comes_in_whatever_order_the_last_given_counts(self, first, again):
        given_by = [OperatorCommands() for _ in range(4)]
        told = []
        for n, kind in enumerate(
            (CommandKind.EVACUATE, CommandKind.HOLD, CommandKind.RETURN, CommandKind.EVACUATE)
        ):
            for book in told:
                given_by[n].merge(book, 0.0, float(n))
            given_by[n].issue("a", kind, f"w{n}", float(n))
            told.append(given_by[n].entries(float(n)))
        late = OperatorCommands()
        for n in [*again, *first]:
            late.merge(told[n], 1.0, 4.0)
        self.assertEqual(late.active("a", 4.0).kind, CommandKind.EVACUATE)
        self.assertEqual(late.active("a", 4.0).number, 4)

    def test_an_order_ends_and_one_that_is_over_is_no_order(self):
        book = OperatorCommands()
        book.issue("a", CommandKind.EVACUATE, "w0", 0.0)
        lasts = DURATION_S[CommandKind.EVACUATE]
        self.assertIsNotNone(book.active("a", lasts - 1))
        self.assertIsNone(book.active("a", lasts + 1))
        other = OperatorCommands()
        other.merge(book.entries(lasts + 1), 0.5, 0.0)
        self.assertIsNone(other.active("a", 0.0))

    def test_two_at_one_number_end_alike_everywhere_and_strange_ones_change_nothing(self):
        a, b = OperatorCommands(), OperatorCommands()
        a.issue("x", CommandKind.EVACUATE, "w0", 0.0)
        b.issue("x", CommandKind.RETURN, "w1", 0.0)
        one, two = a.entries(0.0), b.entries(0.0)
        a.merge(two, 0.0, 0.0)
        b.merge(one, 0.0, 0.0)
        self.assertEqual(a.active("x", 1.0).issued_by, b.active("x", 1.0).issued_by)
        a.merge([CommandEntry("x", "explode", 99, "w9", 10**9), CommandEntry("x", "hold", 0, "w9", 1)], 0, 0)
        self.assertEqual(a.active("x", 1.0).issued_by, "w1")

    @given(st.binary(max_size=200))
    def test_words_that_cannot_be_read_are_none(self, data):
        decoded = site_report.decode(data)
        self.assertTrue(decoded is None or isinstance(decoded, SiteReport))
