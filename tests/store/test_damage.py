"""Tests of the damage assessment."""

import unittest

from ochrehoist.config.tables import LossPolicy
from ochrehoist.store.damage import FolderInspection, StoreCondition, assess_damage, remaining_hold_ns
from ochrehoist.store.records import (
    CommitSummary,
    DataLossRecord,
)
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S
from tests.store.store_values import DAY_NS, HOUR_NS


class DamageAssessmentTest(unittest.TestCase):
    """Findings in a folder, and the resulting condition and hold."""

    def test_each_finding_gives_the_expected_condition(self):
        summary = CommitSummary(7, 2, 5)
        sound = {
            "has_marker": True,
            "has_store": True,
            "stored_summary": summary,
            "actual_summary": summary,
            "last_commit_number": 7,
        }
        for changes, expected_condition, expected_set_aside in (
            ({}, StoreCondition.SOUND, False),
            # The watermark is written without a sync, so it may lag behind.
            ({"last_commit_number": 6}, StoreCondition.SOUND, False),
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
                self.assertEqual(
                    (assessment.condition, assessment.must_set_aside),
                    (expected_condition, expected_set_aside),
                )
                self.assertEqual(bool(assessment.reasons), expected_condition is StoreCondition.LOST)

    def test_a_hold_continues_after_a_restart_and_can_be_disabled(self):
        loss = DataLossRecord(Timestamp(DAY_NS, "b", HOUR_NS), 20 * NS_PER_S, "gone")
        now = Timestamp(DAY_NS, "b", HOUR_NS + 5 * NS_PER_S)
        self.assertEqual(remaining_hold_ns(loss, LossPolicy.HOLD, now), 15 * NS_PER_S)
        self.assertEqual(remaining_hold_ns(loss, LossPolicy.SERVE, now), 0)
        self.assertEqual(remaining_hold_ns(None, LossPolicy.HOLD, now), 0)
