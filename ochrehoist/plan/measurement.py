"""One run in real time with real workers, beside the forecast of the same draw."""

import json
from pathlib import Path
from typing import TypedDict

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan.errors import UnanswerableQuestionError
from ochrehoist.plan.fleet_run import Outage
from ochrehoist.plan.measured_run import MeasuredRun
from ochrehoist.plan.runs import Progress, RunValues
from ochrehoist.plan.simulation import Simulation
from ochrehoist.plan.site_loss import workers_of_site

MIN_GOODPUT = 1e-9


class Measurement(TypedDict):
    """The answer; `ratio` is the forecast goodput over the measured one."""

    measured: RunValues
    forecast: RunValues
    ratio: float
    late_p99_ms: float


def measure(
    fleet: Fleet,
    seed: int,
    duration_s: float,
    lost_site: str | None,
    progress: Progress,
    record_folder: Path | None = None,
) -> Measurement:
    """Measures a small fleet; `record_folder` is for what the workers saw, a site may be lost at the middle.

    Raises:
        MeasurementError: A worker did not start.
        UnanswerableQuestionError: The site holds none of the workers, or all.
    """
    outages: tuple[Outage, ...] = ()
    if lost_site is not None:
        lost_workers = workers_of_site(fleet, lost_site)
        total = len(fleet.placed_workers)
        if not lost_workers or len(lost_workers) == total:
            raise UnanswerableQuestionError.site_not_a_part(lost_site, len(lost_workers), total)
        outages = (Outage(duration_s / 2, lost_workers, None, lost_site),)
    forecast = Simulation(fleet, seed, duration_s, outages=outages).run()
    run = MeasuredRun(
        fleet, seed, duration_s, outages=outages, operator_config=_capture_config(record_folder)
    )
    measured = run.run(lambda share: progress(int(share * 100), 100))
    return {
        "measured": measured.values(),
        "forecast": forecast.values(),
        "ratio": forecast.goodput / max(MIN_GOODPUT, measured.goodput),
        "late_p99_ms": float(run.start_delay_ms.get_value_at_percentile(99)),
    }


def _capture_config(folder: Path | None) -> str | None:
    """The operators' file that makes a worker record its load."""
    if folder is None:
        return None
    return f"[capture]\nfolder = {json.dumps(str(folder.absolute()))}\n"
