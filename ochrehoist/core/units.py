"""Units of time: the core counts in nanoseconds of its own clock."""

NS_PER_MS = 1_000_000
NS_PER_S = 1000 * NS_PER_MS
