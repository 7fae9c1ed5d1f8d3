"""What tests share beside stand-ins: the program under test, settings, limits and measures."""
