"""Overload control: measures whether the worker keeps up, and sheds load early. No I/O."""
