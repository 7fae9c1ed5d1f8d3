"""Tests of the `ochrehoist.store` package."""
