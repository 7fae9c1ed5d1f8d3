"""The command line, on click. Plain `run` does without it: the platform's worker stays lean."""
