"""The fleet's one permit to step: a budget of one run at a time. No I/O."""

from ochrehoist.peers.budget import Budget

PERMIT = "sites.return"
PERMIT_S = 0.5  # for which a use of it counts, and so the least that it is still held


def permit(voters: tuple[str, ...]) -> Budget:
    """Short, or voters that come back themselves, and wait for what they may have said, would hold up the
    return."""
    return Budget(
        PERMIT,
        1,
        voters,
        concurrent=True,
        lease_s=0.5,
        floor_fraction=0.0,
        floor_lease_s=0.5,
        max_run_s=PERMIT_S,
    )
