"""A filing is repeated after a configuration change in which its class is removed and another takes its rule."""

import copy
import signal

from review.support_2.appliance import Server, call, settings, text
from review.support_2.case import CannotRunError, Case, free_ports, main

KEY = "6d1f0c9e-2026-filing"
BODY = b"<seat>Antwerpen</seat>"


def play(case: Case) -> bool:
    """Returns whether the filing ran at most once."""
    ajp, admin = free_ports(2)
    server = Server(case, b"Idempotency-Key")
    file = settings("register-1", ajp, admin, server.address)
    path = case.write("ajp.toml", text(file))
    worker = case.start("register-1", path)
    case.wait_ready(admin)
    headers = {"X-Tenant": "boekhoud-net", "Idempotency-Key": KEY}
    first = call(case, ajp, "first try", "POST", "/filings", headers=headers, body=BODY)
    if first is None or first.status != 200:
        raise CannotRunError("the first try was not served")
    if case.trouble:
        changed = copy.deepcopy(file)
        (old,) = (c for c in changed["settings"]["Classes"] if c["Name"] == "filing-submit")
        old["Name"] = "filing-submit-2027"
        (rule,) = (r for r in changed["ajp"]["rules"] if r["class"] == "filing-submit")
        rule["class"] = "filing-submit-2027"
        case.write("ajp.toml", text(changed))
        worker.signal(signal.SIGHUP)
        case.note(f"the file is read: {worker.wait_logged('config_reloaded')}")
    again = call(case, ajp, "repeat", "POST", "/filings", headers=headers | {"X-Retry": "1"}, body=BODY)
    count = sum(run["name"] == KEY for run in server.runs)
    case.note(f"the filing ran {count} times; the repeat got {again and (again.status, again.body)}")
    return count <= 1


main(__file__, play)
