"""Validation of playbooks; each fault is reported as one line that begins with the key at fault."""

from collections.abc import Collection

from ochrehoist.sites.playbook import FORMAT_VERSION, Playbook, SiteLoss

# Admitted work may exceed the carried work by this share: both are rounded to two digits.
WORK_TOLERANCE = 0.02
MAX_RETURN_S = 86_400


def find_faults(playbook: Playbook, class_names: Collection[str] | None) -> list[str]:
    """Returns all faults of a playbook.

    `class_names` are the classes that the worker serves; None if any class may be named.
    """
    faults = []
    if playbook.format_version != FORMAT_VERSION:
        faults.append(
            f"version: unsupported version {playbook.format_version}, expected {FORMAT_VERSION}: "
            "generate the file again with `plan lose`"
        )
    faults += [
        f"workers.{site}: no workers" for site, addresses in playbook.workers_by_site.items() if not addresses
    ]
    checked_sites: set[str] = set()
    for index, loss in enumerate(playbook.losses):
        key = f"loss[{index}]"
        faults += _site_faults(key, loss, playbook, checked_sites)
        checked_sites.add(loss.site)
        faults += _loss_faults(key, loss)
        faults += _admission_faults(key, loss, class_names)
        faults += _admitted_work_faults(key, loss, playbook.beyond_quota_share)
    return faults


def _site_faults(key: str, loss: SiteLoss, playbook: Playbook, checked_sites: set[str]) -> list[str]:
    faults = []
    if loss.site not in playbook.workers_by_site:
        sites = sorted(playbook.workers_by_site)
        faults.append(f"{key}.site: no site {loss.site!r} in workers; known sites: {sites}")
    if loss.site in checked_sites:
        faults.append(f"{key}.site: duplicate site {loss.site!r}")
    return faults


def _loss_faults(key: str, loss: SiteLoss) -> list[str]:
    faults = []
    if not 0 < loss.carried_share <= 1:
        faults.append(f"{key}.carry: must be above 0 and at most 1: {loss.carried_share}")
    if loss.retry_after_ms < 0 or loss.retry_spread_ms <= 0:
        spread = loss.retry_spread_ms
        faults.append(f"{key}.spread_ms: must be above 0, or all callers retry at the same time: {spread}")
    if not _increase_to_one(loss.stages):
        faults.append(f"{key}.steps: must increase from above 0 to 1: {loss.stages}")
    if not 0 < loss.max_return_s < MAX_RETURN_S:
        faults.append(f"{key}.longest_s: must be above 0 s and less than a day: {loss.max_return_s}")
    return faults


def _increase_to_one(stages: list[float]) -> bool:
    if not stages or stages[-1] != 1:
        return False
    return not any(later <= earlier for earlier, later in zip([0.0, *stages], stages, strict=False))


def _admission_faults(key: str, loss: SiteLoss, class_names: Collection[str] | None) -> list[str]:
    faults = []
    for index, admission in enumerate(loss.class_admissions):
        admission_key = f"{key}.let_in[{index}]"
        if class_names is not None and admission.class_name not in class_names:
            known_names = sorted(class_names)
            faults.append(
                f"{admission_key}.class: unknown class {admission.class_name!r}; known classes: {known_names}"
            )
        shares = {
            "share": admission.share,
            "beyond": admission.beyond_quota_share,
            "work": admission.work_share,
        }
        faults += [
            f"{admission_key}.{name}: must be from 0 to 1: {value}"
            for name, value in shares.items()
            if not 0 <= value <= 1
        ]
        if admission.beyond_quota_share > admission.share:
            shares_text = f"{admission.beyond_quota_share} of {admission.share}"
            faults.append(f"{admission_key}.beyond: must not exceed `share`: {shares_text}")
    return faults


def _admitted_work_faults(key: str, loss: SiteLoss, beyond_quota_share: float) -> list[str]:
    faults = []
    work = 0.0
    for admission in loss.class_admissions:
        within = (1 - beyond_quota_share) * admission.share
        beyond = beyond_quota_share * admission.beyond_quota_share
        work += admission.work_share * (within + beyond)
    if len({admission.class_name for admission in loss.class_admissions}) < len(loss.class_admissions):
        faults.append(f"{key}.let_in: duplicate class")
    if work > loss.carried_share + WORK_TOLERANCE:
        faults.append(
            f"{key}.let_in: {work:.2f} of all work is let in, and the others carry {loss.carried_share:.2f}"
        )
    return faults
