"""The laboratory: real workers with faults between them, and their parts on virtual time; not for `run`."""
