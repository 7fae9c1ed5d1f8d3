"""How the cost of each part grows with size: the measurements behind docs/CAPACITY.md."""
