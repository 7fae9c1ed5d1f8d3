"""Hollow workers beside as many real ones in one group: by how much the figures of hollow ones are off."""

from dataclasses import replace
from pathlib import Path

from ochrehoist.lab.scale.measurements import is_trustworthy
from ochrehoist.lab.scale.results import RunRecord
from ochrehoist.lab.scale.run import ReportProgress, ScaleRun
from ochrehoist.lab.scale.spec import ScaleSpec

TOLERANCE = 0.15  # by which hollow workers may differ from real ones


def run_calibration(spec: ScaleSpec, root: Path, report: ReportProgress) -> RunRecord:
    """Runs the group at rest, and adds `check` and `check_valid` to the record."""
    at_rest = replace(spec, uses=0.0, faults=(), changes=0, pace=1.0)
    record = ScaleRun(at_rest, root).run(report)
    if "rest" not in record:
        return record
    rest = record["rest"]
    trustworthy = is_trustworthy(rest["was_late"], rest["hollows"], rest["seconds"])
    record["check_valid"] = trustworthy and record["join"]["all_s"] is not None
    if not record["check_valid"]:
        record["notes"].append(
            "no check: hollow workers were late, or not all knew all; run it on a machine that has less to do"
        )
    record["check"] = {
        key: {
            "hollow": hollow,
            "real": real,
            "factor": real / hollow if hollow else None,
            "within": hollow > 0 and abs(real / hollow - 1) <= TOLERANCE,
        }
        for key, (hollow, real) in _figure_pairs(record).items()
    }
    return record


def _figure_pairs(record: RunRecord) -> dict[str, tuple[float, float]]:
    """Each figure of a hollow worker and of a real one.

    Voters have more to do, and are hollow: their figures are left out.
    """
    rest = record["rest"]
    hollow = rest["not_voters"]
    real = rest["real"]
    pairs = {key: (hollow[key]["p50"], real[key]["p50"]) for key in hollow}
    core_cpu_share = rest["cpu_share"] - rest["hollow"]["peers_cpu_s"]["mean"]
    hollow_cpu_share = core_cpu_share + hollow["peers_cpu_s"]["p50"]
    pairs["cpu_share"] = hollow_cpu_share, real["cpu_s"]["p50"]
    return pairs
