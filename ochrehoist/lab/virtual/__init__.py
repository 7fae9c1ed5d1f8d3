"""The parts of a fleet that do no I/O, on virtual time: all events come from a seed.

Groups exchange messages over a network that loses, repeats, holds back and cuts, with clocks that drift,
pauses, deaths and restarts. Times are in s of virtual time where nothing else is said.
"""
