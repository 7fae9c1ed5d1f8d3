"""`ochrehoist peers`: the fleet as one of its workers sees it."""

from typing import Any

import click

from ochrehoist.cli.common import CallWorker, add_show_command


def _lines(v: dict[str, Any]) -> list[str]:
    """What a person on call reads first, in plain lines."""
    out = [
        f"{v['name']} of group {v['group']}"
        + (f", site {v['site']}" if v["site"] else "")
        + f", incarnation {v['incarnation']}"
    ]
    if v["duplicate"] is not None:
        out.append("ANOTHER PROCESS IS THIS MEMBER TOO: end one of the two")
    if v["alone_s"] is not None:
        out.append(f"ALONE for {v['alone_s']} s: nobody is heard; rights end by themselves")
    if v["late"]:
        out.append(f"late itself: {v['late']} times the usual patience with others")
    out.append("members:")
    for name, m in v["members"].items():
        heard = "never heard" if m["heard_s"] is None else f"heard {m['heard_s']} s ago"
        by = f", by {', '.join(m['accused_by'])}" if m["accused_by"] else ""
        site = f" [{m['site']}]" if m["site"] else ""
        out.append(f"  {name}{site} at {m['address']}: {m['state']} for {m['for_s']} s{by}, {heard}")
    for name, b in v["budgets"].items():
        out.append(
            f"budget {name}: {b['held']} of {b['amount']} {b['kind']} held here, {b['used']} used, "
            f"{b['denied']} denied, ends in {b['ends_in_s']} s unless renewed"
        )
    for name, s in v["services"].items():
        why = f" for {s['for_s']} s: {s['why']}" if s["why"] else ""
        own = "nothing seen lately" if s["own"] is None else f"own: {s['own'][0]} by {s['own'][1]} results"
        heard = f"; others: {', '.join(s['heard'])}" if s["heard"] else ""
        out.append(f"server {name}: {s['standing']}{why}; {own}{heard}")
    for key, c in v["counts"].items():
        out.append(f"count {key}: {c['total']} (at most {c['missing']} more, {c['age_s']} s old)")
    strange = {**v["rejected"], **{k: n for k, n in v["messages"].items() if k != "heard"}}
    if strange:
        out.append("not heard: " + ", ".join(f"{n} {why}" for why, n in strange.items()))
    return out


def commands(call_worker: CallWorker) -> click.Group:
    """The group; `asked` calls the running worker."""

    @click.group()
    def peers() -> None:
        """The fleet, as the running worker sees it."""

    about = "Members, budgets, counts with their bounds, and judgements with their evidence."
    add_show_command(peers, call_worker, "peers", about, _lines)

    return peers
