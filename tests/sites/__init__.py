"""Tests of the `ochrehoist.sites` package."""
