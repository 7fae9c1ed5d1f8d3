"""Tests, laid out like the packages they test."""
