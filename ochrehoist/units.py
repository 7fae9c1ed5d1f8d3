"""Units of time. Points in time and durations are in nanoseconds unless a name says otherwise."""

NS_PER_MS = 1_000_000
NS_PER_S = 1000 * NS_PER_MS
