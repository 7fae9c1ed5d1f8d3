"""The adapter: translation, and what bad input gets."""

import io
import json

import pytest

from ochrehoist.app import simulator_adapter

ID = "5d3a91c4-2d21-442e-aaef-21d776910d66"


def wire_settings(**changes):
    base = {
        "Classes": [
            {
                "Name": "a",
                "Slo": 10**9,
                "Deadline": 3 * 10**9,
                "Gain": 1.0,
                "LateValue": 0.0,
                "Repeat": "idempotent",
                "Window": 5 * 10**9,
            }
        ],
        "FamilyInfo": {
            "Cores": 2,
            "HeapKb": 9000.0,
            "RunFactor": 4.0,
            "Say": "window",
            "PassesDeadline": True,
            "Callers": 2,
            "HeardFor": 10**9,
            "Later": 1,
        },
        "FleetSize": 3,
        "ResultMix": {"Whole": 1.0},
        "Step": 10**6,
        "Unknown": {},
        "Rules": {
            "Cold": 10**9,
            "ColdFrom": 0.3,
            "DrainGrace": 10**9,
            "Fall": 10**9,
            "GraceToAnswer": 10**8,
            "TipMultiple": 5.0,
        },
    }
    base.update(changes)
    return json.dumps(base)


def play(*lines):
    out, err = io.StringIO(), io.StringIO()
    code = simulator_adapter.main(io.StringIO("".join(line + "\n" for line in lines)), out, err)
    return code, out.getvalue(), err.getvalue()


def start(settings=None):
    return ["BATCH 1000000000 1", "TARGET_INSTANCE 3", f"CREATE 7 {settings or wire_settings()}", "EOF_BATCH"]


def incoming(job=ID, rest="a - k:x 900000000 - 24.5 0.5 0 17 1000000 -"):
    return f"INCOMING {job} {rest}"


def test_an_empty_batch_and_the_end_of_input():
    assert play("BATCH 8412250000 1", "EOF_BATCH") == (0, "OK 1\n", "")


def test_a_request_is_started_and_ends():
    code, out, err = play(
        *start(),
        "BATCH 1000000001 2",
        "TARGET_INSTANCE 3",
        incoming(),
        "BELL 1 cpu_busy:0.62,later:3",
        "EOF_BATCH",
        "BATCH 1000000002 3",
        "TARGET_INSTANCE 3",
        f"COMPLETED {ID} Ok 18500000",
        "EOF_BATCH",
    )
    assert code == 0 and not err
    assert out.splitlines()[0] == "INSTANCE 3" and f"PROCESS {ID}" in out and out.endswith("OK 3\n")


def test_unknown_messages_are_skipped_with_one_line():
    code, out, err = play("BATCH 1 1", "TARGET_INSTANCE 3", "NOVELTY 1 2", "EOF_BATCH")
    assert code == 0 and out == "OK 1\n" and len(err.splitlines()) == 1 and "NOVELTY" in err


@pytest.mark.parametrize(
    ("line", "named"),
    [
        (f"COMPLETED {ID} Perhaps 1", "Verdict"),
        (f"COMPLETED {ID}", "Verdict"),
        (f"COMPLETED {ID} Ok soon", "Took"),
        ("BELL x -", "Ref"),
        ("BELL 1 cpu_busy", "Gauge"),
        ("RETIRE_SOON -5", "Remaining"),
        (incoming(rest="b - k:x 900000000 - 24.5 0.5 0 17 1000000 -"), "Type"),
        (incoming(rest="a who k:x 900000000 - 24.5 0.5 0 17 1000000 -"), "Realm"),
        (incoming(rest="a - k:x 900000000 - nan 0.5 0 17 1000000 -"), "SizeKb"),
        (incoming(rest="a - k:x 900000000"), "Work"),
        (incoming() + " more", "end of line"),
    ],
)
def test_a_malformed_line_names_message_and_field_and_ends_non_zero(line, named):
    code, _, err = play(*start(), "BATCH 1000000001 2", "TARGET_INSTANCE 3", line, "EOF_BATCH")
    assert code != 0 and line.split()[0] in err and named in err


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"FleetSize": None}, "FleetSize"),
        ({"Step": "x"}, "Step"),
        ({"Rules": {}}, "Rules.Cold"),
        ({"Classes": []}, "Classes"),
        (
            {"Classes": [{"Name": "a", "Slo": 1, "Deadline": 1, "Gain": 1, "Repeat": "never"}]},
            "Classes[0].Repeat",
        ),
        ({"FamilyInfo": {"Cores": 2, "HeapKb": 1.0, "RunFactor": 4.0, "Say": "shout"}}, "FamilyInfo.Say"),
        (
            {"FamilyInfo": {"Cores": 2, "HeapKb": 1.0, "RunFactor": 4.0, "DependsOn": "shared"}},
            "FamilyInfo.FairCalls",
        ),
    ],
)
def test_an_unusable_setting_is_named(changes, named):
    code, _, err = play(*start(wire_settings(**changes)))
    assert code != 0 and named in err


def test_a_failure_in_the_decisions_goes_out_as_a_fault(monkeypatch):
    def broken(self, now, event):
        message = "two\nlines"
        raise RuntimeError(message)

    monkeypatch.setattr(simulator_adapter.AdmissionController, "handle", broken)
    code, out, err = play(*start())
    assert code == 0 and "EXCEPTION RuntimeError: two lines" in out and "Traceback" in err


def test_a_process_that_died_is_forgotten_and_may_come_back():
    code, out, _ = play(
        *start(),
        "BATCH 1000000001 2",
        "TARGET_INSTANCE 3",
        incoming(),
        "EOF_BATCH",
        "BATCH 1000000002 3",
        "TARGET_INSTANCE 3",
        "DETACH",
        f"CREATE 8 {wire_settings()}",
        "EOF_BATCH",
    )
    assert code == 0 and ID not in out.split("OK 2")[1]
