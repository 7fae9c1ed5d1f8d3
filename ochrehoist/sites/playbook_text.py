"""Rendering of playbooks as TOML with a comment on each key."""

from collections.abc import Mapping

import msgspec

from ochrehoist.sites.playbook import ClassAdmission, Playbook, SiteLoss


def render(playbook: Playbook, notes: Mapping[str, str]) -> str:
    """Returns the text of a playbook file.

    `notes` are comments by site name; the comment under the empty name is placed at the head of the file.
    """
    lines = [f"# {line}" for line in notes.get("", "").splitlines()]
    lines += _header_lines(playbook)
    for loss in playbook.losses:
        lines += _loss_lines(loss)
        for admission in loss.class_admissions:
            lines += _admission_lines(admission)
        note = notes.get(loss.site)
        if note:
            lines += ["", *(f"# {line}" for line in note.splitlines())]
    return "\n".join(lines) + "\n"


def _header_lines(playbook: Playbook) -> list[str]:
    return [
        f"version = {playbook.format_version}",
        f"made = {playbook.made_at}   # Unix s; the younger of two counts",
        f'fleet = "{playbook.fleet}"',
        f"beyond = {playbook.beyond_quota_share:.3f}   # of all work, beyond tenants' shares",
        "unknown = [",
        *(f'    "{text}",' for text in playbook.unknowns),
        "]",
        "",
        "[workers]",
        *(
            f"{site} = {msgspec.json.encode(addresses).decode()}"
            for site, addresses in playbook.workers_by_site.items()
        ),
    ]


def _loss_lines(loss: SiteLoss) -> list[str]:
    return [
        "",
        "[[loss]]",
        f'site = "{loss.site}"',
        f"carry = {loss.carried_share:.3f}   # of all work, that the others can take",
        f'binds = "{loss.bottleneck}"   # what binds them first',
        f"stay_away_ms = {loss.retry_after_ms:g}   # that callers turned away are told, and up to",
        f"spread_ms = {loss.retry_spread_ms:g}   # more, so that they don't meet again",
        f"steps = {list(loss.stages)}   # of its usual load, on the return",
        f"longest_s = {loss.max_return_s:g}   # of the return; then all of its load, whatever was measured",
    ]


def _admission_lines(admission: ClassAdmission) -> list[str]:
    return [
        "",
        "[[loss.let_in]]",
        f'class = "{admission.class_name}"',
        f"share = {admission.share:.2f}   # let in",
        f"beyond = {admission.beyond_quota_share:.2f}   # of what tenants send beyond their shares",
        f"work = {admission.work_share:.3f}   # its share of all work",
    ]
