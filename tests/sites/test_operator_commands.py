"""Tests of operators' commands: all workers agree on the command issued last."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.sites import site_report
from ochrehoist.sites.operator_commands import DURATION_S, CommandKind, OperatorCommands
from ochrehoist.sites.site_report import CommandEntry, SiteReport


class OperatorCommandsTest(unittest.TestCase):
    """Commands that arrive in any order, expire, conflict or are invalid."""

    @given(st.permutations(range(4)), st.lists(st.integers(0, 3), max_size=8))
    def test_the_command_issued_last_wins_in_any_order_of_arrival(self, arrival_order, duplicates):
        issuers = [OperatorCommands() for _ in range(4)]
        reports = []
        for index, kind in enumerate(
            (CommandKind.EVACUATE, CommandKind.HOLD, CommandKind.RETURN, CommandKind.EVACUATE)
        ):
            for report in reports:
                issuers[index].merge(report, 0.0, float(index))
            issuers[index].issue("a", kind, f"w{index}", float(index))
            reports.append(issuers[index].entries(float(index)))
        receiver = OperatorCommands()
        for index in [*duplicates, *arrival_order]:
            receiver.merge(reports[index], 1.0, 4.0)
        self.assertEqual(receiver.active("a", 4.0).kind, CommandKind.EVACUATE)
        self.assertEqual(receiver.active("a", 4.0).number, 4)

    def test_a_command_expires_and_an_expired_one_has_no_effect(self):
        commands = OperatorCommands()
        commands.issue("a", CommandKind.EVACUATE, "w0", 0.0)
        duration_s = DURATION_S[CommandKind.EVACUATE]
        self.assertIsNotNone(commands.active("a", duration_s - 1))
        self.assertIsNone(commands.active("a", duration_s + 1))
        other = OperatorCommands()
        other.merge(commands.entries(duration_s + 1), 0.5, 0.0)
        self.assertIsNone(other.active("a", 0.0))

    def test_workers_agree_on_one_of_two_equal_numbers_and_ignore_invalid_entries(self):
        first, second = OperatorCommands(), OperatorCommands()
        first.issue("x", CommandKind.EVACUATE, "w0", 0.0)
        second.issue("x", CommandKind.RETURN, "w1", 0.0)
        first_report, second_report = first.entries(0.0), second.entries(0.0)
        first.merge(second_report, 0.0, 0.0)
        second.merge(first_report, 0.0, 0.0)
        self.assertEqual(first.active("x", 1.0).issued_by, second.active("x", 1.0).issued_by)
        first.merge(
            [CommandEntry("x", "explode", 99, "w9", 10**9), CommandEntry("x", "hold", 0, "w9", 1)], 0, 0
        )
        self.assertEqual(first.active("x", 1.0).issued_by, "w1")

    @given(st.binary(max_size=200))
    def test_reports_that_cannot_be_decoded_are_ignored(self, data):
        decoded = site_report.decode(data)
        self.assertTrue(decoded is None or isinstance(decoded, SiteReport))
