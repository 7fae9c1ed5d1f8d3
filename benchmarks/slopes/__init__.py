"""What each part of the program costs as the size grows: measured slopes behind docs/CAPACITY.md.

`python -m benchmarks.slopes [--root TREE] [--json FILE] [--only NAME] [--against FILE]`
"""
