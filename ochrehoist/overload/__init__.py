"""Overload control: detects overload of the worker and sheds load early.

The package does no I/O and reads no clock.

`overload_detector` detects overload and estimates the request rate that the worker can afford;
`early_rejection` enforces that rate before requests reach the core. `limiter` bounds the concurrency, using
`concurrency_limits`, `bulkheads`, `cost_prediction` and `retry_budget`.
"""
