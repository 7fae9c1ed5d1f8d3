"""The planner's forecasts beside real workers, and the example of docs/planner.md."""
