"""Cost and equivalence of the admission decisions, between this tree and an earlier revision."""
