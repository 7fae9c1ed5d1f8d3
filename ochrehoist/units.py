"""Units of time. Moments and spans are nanoseconds wherever a name does not say otherwise."""

NS_PER_MS = 1_000_000
NS_PER_S = 1000 * NS_PER_MS
