"""Scale runs: hundreds of hollow workers beside real ones in one group, at rest, under faults and reloads.

A run keeps its own limits, and leaves no process. Times are by the workers' clocks, in s; with a clock rate
below 1 these are slower than the machine's.
"""
