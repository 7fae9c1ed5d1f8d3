"""Tests of the repository itself: its pages, its README, and the runner of the tests."""
