"""Overload control: measures whether the worker keeps up, and sheds load early.

No I/O, and no clock of its own.

`overload_detector` tells whether the worker is overloaded and how many requests a second it can afford;
`early_rejection` keeps to that rate before requests reach the core. `limiter` bounds what runs at once,
with the help of `concurrency_limits`, `bulkheads`, `cost_prediction` and `retry_budget`.
"""
