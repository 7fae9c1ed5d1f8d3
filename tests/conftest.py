"""What holds for all tests: Hypothesis sets no time limit, so that no verdict rests on the machine."""

from hypothesis import settings

settings.register_profile("any-machine", deadline=None)
settings.load_profile("any-machine")
