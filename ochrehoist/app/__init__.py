"""Composition of the programs: the worker, configuration reload, the simulator's adapter."""
