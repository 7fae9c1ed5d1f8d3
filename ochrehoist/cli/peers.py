"""`ochrehoist peers`: the fleet as one of its workers sees it."""

from typing import Any

import click

from ochrehoist.cli.common import CallWorker, add_show_command


def format_peers(view: dict[str, Any]) -> list[str]:
    """What a person on call reads first."""
    return [
        *_own_lines(view),
        "members:",
        *(_member_line(name, member) for name, member in view["members"].items()),
        *(_budget_line(name, budget) for name, budget in view["budgets"].items()),
        *(_service_line(name, service) for name, service in view["services"].items()),
        *(
            f"count {key}: {count['total']} (at most {count['missing']} more, {count['age_s']} s old)"
            for key, count in view["counts"].items()
        ),
        *_unheard_lines(view),
    ]


def _own_lines(view: dict[str, Any]) -> list[str]:
    """The worker itself, and what is wrong with it."""
    site = f", site {view['site']}" if view["site"] else ""
    lines = [f"{view['name']} of group {view['group']}{site}, incarnation {view['incarnation']}"]
    if view["duplicate"] is not None:
        lines.append("ANOTHER PROCESS IS THIS MEMBER TOO: end one of the two")
    if view["alone_s"] is not None:
        lines.append(f"ALONE for {view['alone_s']} s: nobody is heard; rights end by themselves")
    if view["late"]:
        lines.append(f"late itself: {view['late']} times the usual patience with others")
    return lines


def _member_line(name: str, member: dict[str, Any]) -> str:
    heard = "never heard" if member["heard_s"] is None else f"heard {member['heard_s']} s ago"
    accused_by = f", by {', '.join(member['accused_by'])}" if member["accused_by"] else ""
    site = f" [{member['site']}]" if member["site"] else ""
    state = f"{member['state']} for {member['for_s']} s{accused_by}"
    return f"  {name}{site} at {member['address']}: {state}, {heard}"


def _budget_line(name: str, budget: dict[str, Any]) -> str:
    held = f"{budget['held']} of {budget['amount']} {budget['kind']} held here"
    use = f"{budget['used']} used, {budget['denied']} denied"
    return f"budget {name}: {held}, {use}, ends in {budget['ends_in_s']} s unless renewed"


def _service_line(name: str, service: dict[str, Any]) -> str:
    reason = f" for {service['for_s']} s: {service['why']}" if service["why"] else ""
    own = "nothing seen lately"
    if service["own"] is not None:
        own = f"own: {service['own'][0]} by {service['own'][1]} results"
    others = f"; others: {', '.join(service['heard'])}" if service["heard"] else ""
    return f"server {name}: {service['standing']}{reason}; {own}{others}"


def _unheard_lines(view: dict[str, Any]) -> list[str]:
    """What was rejected, and messages that did not arrive as they should."""
    others = {kind: count for kind, count in view["messages"].items() if kind != "heard"}
    counts = {**view["rejected"], **others}
    if not counts:
        return []
    return ["not heard: " + ", ".join(f"{count} {why}" for why, count in counts.items())]


def commands(call_worker: CallWorker) -> click.Group:
    """The group; `asked` calls the running worker."""

    @click.group()
    def peers() -> None:
        """The fleet, as the running worker sees it."""

    help_text = "Members, budgets, counts with their bounds, and judgements with their evidence."
    add_show_command(peers, call_worker, "peers", help_text, format_peers)

    return peers
