"""A reload makes the window of filings longer, then the worker is killed: does a filing run twice?

One appliance of deploy/ajp.toml with [state]. Filings run; a new file with a longer window is put in force by SIGHUP;
the worker is killed and started again with that file. The filings are repeated within the window that is in force.
"""

import signal
import time
from collections import Counter
from pathlib import Path

from review.support.appliance import Appliance, RegisterServer, file_filing
from review.support.program import Bench, CouldNotRunError, play, trouble, wait_until_ready

FILINGS = 40
FILINGS_PER_S = 10.0
SHORT_WINDOW_S = 13.584  # that of the site
LONG_WINDOW_S = 40.0
REPEATED_AFTER_S = 22.0  # after the first attempt: beyond the short window, within the long one
WAITS_S = (1.0, 1.0)  # from the last filing to the reload, and from the reload to the kill


def window_text(window_s: float) -> str:
    """The setting as the file has it."""
    return f"Window = {round(window_s * 1000)}000000"


def send(bench: Bench, appliance: Appliance, numbers: range, what: str, at_s: list[float]) -> Counter[int]:
    """Sends the filings, each at its time; counts the answers by status."""
    time.sleep(max(0.0, at_s[0] - time.monotonic()))
    client = appliance.client()  # only now: a silent connection is closed
    statuses: Counter[int] = Counter()
    for number, due_s in zip(numbers, at_s, strict=True):
        time.sleep(max(0.0, due_s - time.monotonic()))
        status = file_filing(client, f"key-{number}", b"filing %d" % number).status
        bench.record(f"{what} of filing {number}: {status}")
        statuses[status or 0] += 1
    client.close()
    bench.record.say(f"{what}: {dict(statuses)}")
    return statuses


def case(bench: Bench) -> bool:
    """Plays the case; returns whether the rule held."""
    server = RegisterServer(bench.record)
    appliance = Appliance(bench, "register-1", "ajp.toml", server.address)
    appliance.changes = {
        r"(?m)^# \[state\]": "[state]",
        r'(?m)^# folder = "/var/lib/ochrehoist" .*$': f'folder = "{appliance.folder}"',
        r"Window = 13584000000": window_text(SHORT_WINDOW_S),
    }
    program = appliance.start()
    wait_until_ready(appliance.admin)
    numbers = range(1, FILINGS + 1)
    start_s = time.monotonic()
    sent_s = [start_s + number / FILINGS_PER_S for number in numbers]
    first = send(bench, appliance, numbers, "first attempts", sent_s)
    time.sleep(WAITS_S[0])
    appliance.changes[r"Window = 13584000000"] = window_text(LONG_WINDOW_S)
    appliance.write_file()
    program.signal(signal.SIGHUP)
    program.wait_until_logged("config_reloaded")
    bench.record(f"the window is {LONG_WINDOW_S} s")
    time.sleep(WAITS_S[1])
    if trouble():
        program.kill()
        appliance.start()
        wait_until_ready(appliance.admin)
    repeats = send(bench, appliance, numbers, "repeats", [s + REPEATED_AFTER_S for s in sent_s])
    twice = [body.decode() for body, runs in server.runs.items() if runs > 1]
    for body in twice:
        bench.record(f"TWICE {body}: {server.runs[body.encode()]} runs")
    bench.record.say(f"filings that ran twice: {len(twice)} of {FILINGS}")
    if first[200] < FILINGS or time.monotonic() - sent_s[-1] > LONG_WINDOW_S - 1:
        raise CouldNotRunError("a first attempt was not served, or the repeats came too late")
    if repeats.total() < FILINGS:
        raise CouldNotRunError("not all were repeated")
    return not twice


if __name__ == "__main__":
    play(Path(__file__).parent, case)
