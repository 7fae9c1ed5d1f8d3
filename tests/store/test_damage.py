"""What is made of a damaged store."""

import unittest

from ochrehoist.config.tables import LossPolicy
from ochrehoist.store.damage import FolderInspection, StoreCondition, assess_damage, remaining_hold_ns
from ochrehoist.store.records import (
    CommitSummary,
    DataLossRecord,
)
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S
from tests.store.store_values import DAY, HOUR


class DamageAssessments(unittest.TestCase):
    def test_each_case(self):
        summary = CommitSummary(7, 2, 5)
        sound = {
            "has_marker": True,
            "has_store": True,
            "stored_summary": summary,
            "actual_summary": summary,
            "last_commit_number": 7,
        }
        for changes, case, aside in (
            ({}, StoreCondition.SOUND, False),
            ({"last_commit_number": 6}, StoreCondition.SOUND, False),  # not synced: it may lag
            ({"last_commit_number": None, "has_marker": False}, StoreCondition.SOUND, False),
            ({"has_marker": False, "has_store": False}, StoreCondition.FIRST_START, False),
            ({"has_store": False}, StoreCondition.LOST, False),
            ({"last_commit_number": 8}, StoreCondition.LOST, True),
            ({"actual_summary": CommitSummary(7, 1, 5)}, StoreCondition.LOST, True),
            ({"corrupt_records": 1}, StoreCondition.LOST, True),
            ({"stored_summary": None}, StoreCondition.LOST, True),
            ({"read_error": "malformed"}, StoreCondition.LOST, True),
            ({"newer_store": "state-9.db"}, StoreCondition.LOST, False),
            (
                {"newer_store": "state-9.db", "has_store": False, "has_marker": False},
                StoreCondition.LOST,
                False,
            ),
        ):
            with self.subTest(changes):
                assessment = assess_damage(FolderInspection(**sound | changes))
                self.assertEqual((assessment.condition, assessment.must_set_aside), (case, aside))
                self.assertEqual(bool(assessment.reasons), case is StoreCondition.LOST)

    def test_a_hold_is_not_shortened_by_restarts_and_can_be_waived(self):
        loss = DataLossRecord(Timestamp(DAY, "b", HOUR), 20 * NS_PER_S, "gone")
        now = Timestamp(DAY, "b", HOUR + 5 * NS_PER_S)
        self.assertEqual(remaining_hold_ns(loss, LossPolicy.HOLD, now), 15 * NS_PER_S)
        self.assertEqual(remaining_hold_ns(loss, LossPolicy.SERVE, now), 0)
        self.assertEqual(remaining_hold_ns(None, LossPolicy.HOLD, now), 0)
