"""Tests of `ochrehoist/admission/`."""
