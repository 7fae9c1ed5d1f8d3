"""Composition of the programs: the worker, configuration reload and the simulator adapter."""
