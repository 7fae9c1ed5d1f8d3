"""One worker's leases of all budgets: requests, renewals, transfers, and the uses they allow. No I/O; s."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from ochrehoist.peers.budget import Budget
from ochrehoist.peers.lease_assignment import PeerDemand, choose_transfer, slot_mask, slots_to_request
from ochrehoist.peers.leases import LeaseGrantor, LeaseHolder
from ochrehoist.peers.membership import Membership
from ochrehoist.peers.outbound import Outbound, OutgoingMessage
from ochrehoist.peers.peer_status import PeerStatuses
from ochrehoist.peers.usage import UsageMeter
from ochrehoist.peers.wire import BudgetDemand, Incarnation, LeaseGranted, LeaseReleased, LeaseRequest

REQUEST_INTERVAL_S = 0.2  # between two requests of a slot that is not held yet
TRANSFER_INTERVAL_S = 0.1  # between two transfers of one budget
RESERVATION_S = 1.0  # for which a slot given away is not requested again, but by whom it was given to


@dataclass
class BudgetShare:
    """One worker's part in one budget, as grantor (if it is one) and as holder."""

    grantor: LeaseGrantor | None
    holder: LeaseHolder
    meter: UsageMeter
    last_transfer_at: float = 0.0
    set_aside_until: dict[int, float] = field(default_factory=dict)  # slots given to others
    reserved_until: dict[int, float] = field(default_factory=dict)  # slots given to this worker

    def expire_reservations(self, now: float) -> None:
        """Forgets slots given away too long ago."""
        for reservations in (self.set_aside_until, self.reserved_until):
            for slot in [slot for slot, until in reservations.items() if until <= now]:
                del reservations[slot]

    def demand(self, now: float) -> BudgetDemand:
        """What other members are to know of this worker's part."""
        demand = self.meter.demand(now)
        reserved = (slot for slot, until in self.reserved_until.items() if until > now)
        mask = slot_mask(self.holder.leases) | slot_mask(reserved)
        return BudgetDemand(self.holder.budget.name, mask, demand.wanted, demand.denied)


class LeaseManager:
    """Keeps this worker's leases, and answers the requests of others where it is a grantor.

    Once it has yielded, because another process is this member now, no budget may be used here.
    """

    def __init__(
        self, membership: Membership, peer_statuses: PeerStatuses, outbound: Outbound, rng: Random
    ) -> None:
        self.shares: dict[str, BudgetShare] = {}  # by the name of the budget
        self.yielded = False
        self._membership = membership
        self._peer_statuses = peer_statuses
        self._outbound = outbound
        self._rng = rng

    def configure(self, budgets: Sequence[Budget], now: float) -> None:
        """Takes the budgets of new settings; leases of budgets on the same terms go on."""
        known = self.shares
        self.shares = {}
        for budget in budgets:
            share = known.get(budget.name)
            if share is None:
                holder = LeaseHolder(budget)
                share = BudgetShare(None, holder, UsageMeter(holder))
            share.holder.reconfigure(budget)
            if self._membership.incarnation.name not in budget.grantors:
                share.grantor = None
            elif share.grantor is None:
                share.grantor = LeaseGrantor(budget, now)
            else:
                share.grantor.reconfigure(budget, now)
            self.shares[budget.name] = share

    # ---- time
    def tick(self, now: float, leaving: bool) -> list[OutgoingMessage]:
        """Requests, renews, transfers and withdraws leases; a worker that is leaving requests no new ones."""
        messages: list[OutgoingMessage] = []
        for share in self.shares.values():
            messages += self._tick_share(share, now, leaving)
        return messages

    def _tick_share(self, share: BudgetShare, now: float, leaving: bool) -> list[OutgoingMessage]:
        messages = self._withdraw_timed_out(share, now)
        share.expire_reservations(now)
        peers = self._peer_statuses.demands(share.holder.budget.name, now)
        for slot in share.reserved_until:
            share.holder.request(slot, now)
        # A worker that hears nobody requests nothing: the members that are there decide without it.
        if self._membership.isolated_for_s(now) is None and not leaving:
            self._request_free_slots(share, peers, now)
        if now - share.last_transfer_at >= TRANSFER_INTERVAL_S:
            messages += self._transfer_one(share, peers, now)
        messages += self._send_requests(share, now)
        return messages

    def _withdraw_timed_out(self, share: BudgetShare, now: float) -> list[OutgoingMessage]:
        timed_out = share.holder.timed_out_slots(now)
        if not timed_out:
            return []
        share.holder.lost_count += len(timed_out)
        messages = self._release(share, timed_out)
        for slot in timed_out:
            share.set_aside_until[slot] = now + RESERVATION_S * (0.5 + self._rng.random())
        return messages

    def _request_free_slots(self, share: BudgetShare, peers: dict[str, PeerDemand], now: float) -> None:
        me = self._membership.incarnation.name
        alive = {me, *self._membership.live_names()} - self._peer_statuses.leaving_names()
        own_slots = set(share.holder.leases) | set(share.set_aside_until)
        for slot in slots_to_request(share.holder.budget, me, own_slots, alive, peers):
            share.holder.request(slot, now)

    def _transfer_one(
        self, share: BudgetShare, peers: dict[str, PeerDemand], now: float
    ) -> list[OutgoingMessage]:
        transfer = choose_transfer(
            share.holder.budget,
            share.holder.held_slots(now),
            share.meter.demand(now).wanted,
            share.meter.transferable(now),
            peers,
        )
        if transfer is None:
            return []
        share.last_transfer_at = now
        share.set_aside_until[transfer.slot] = now + RESERVATION_S
        return self._release(share, [transfer.slot], transfer.recipient)

    def _send_requests(self, share: BudgetShare, now: float) -> list[OutgoingMessage]:
        budget = share.holder.budget
        round_number, slots = share.holder.due_slots(now, REQUEST_INTERVAL_S)
        if not slots:
            return []
        me = self._membership.incarnation
        if share.grantor is not None:
            granted = share.grantor.grant(me, budget.terms_digest, round_number, slots, now)
            share.holder.record_grant(me.name, round_number, granted, now)
        request = LeaseRequest(budget.name, budget.terms_digest, round_number, slots)
        messages = []
        for grantor in budget.grantors:
            if grantor != me.name:
                messages += self._outbound.to_configured_address(grantor, [request])
        return messages

    # ---- giving back
    def _release(
        self, share: BudgetShare, slots: Iterable[int], recipient: str = ""
    ) -> list[OutgoingMessage]:
        """Gives slots back to the grantors; `recipient` may request them."""
        me = self._membership.incarnation
        round_number, dropped = share.holder.drop(slots)
        if not dropped:
            return []
        if share.grantor is not None:
            share.grantor.release(me, round_number, dropped)
        names = set(share.holder.budget.grantors) | ({recipient} if recipient else set())
        released = LeaseReleased(share.holder.budget.name, round_number, dropped, recipient)
        messages = []
        for name in sorted(names - {me.name}):
            messages += self._outbound.to_member(name, [released])
        return messages

    def release_all(self) -> list[OutgoingMessage]:
        """Gives back all leases; those that runs still rest on expire by themselves, and no sooner."""
        messages: list[OutgoingMessage] = []
        for share in self.shares.values():
            if share.meter.runs:
                share.holder.drop(list(share.holder.leases))
            else:
                messages += self._release(share, list(share.holder.leases))
        return messages

    def yield_all(self) -> list[OutgoingMessage]:
        """Gives back all leases, for good: another process is this member now."""
        self.yielded = True
        return self.release_all()

    # ---- what is received
    def on_request(self, request: LeaseRequest, sender: Incarnation, now: float) -> list[OutgoingMessage]:
        """Grants what it may, if this worker is a grantor of the budget."""
        share = self.shares.get(request.budget)
        if share is None or share.grantor is None:
            return []
        granted = share.grantor.grant(sender, request.terms_digest, request.round_number, request.slots, now)
        if not granted:
            return []
        answer = LeaseGranted(request.budget, request.round_number, granted)
        return self._outbound.to_member(sender.name, [answer])

    def on_granted(self, granted: LeaseGranted, sender: Incarnation, now: float) -> list[OutgoingMessage]:
        """Counts a grantor's answer."""
        share = self.shares.get(granted.budget)
        if share is not None and not self.yielded:
            share.holder.record_grant(sender.name, granted.round_number, granted.slots, now)
        return []

    def on_released(self, released: LeaseReleased, sender: Incarnation, now: float) -> list[OutgoingMessage]:
        """Another worker gave slots back, to all, to this worker or to a third."""
        share = self.shares.get(released.budget)
        if share is None:
            return []
        if share.grantor is not None:
            share.grantor.release(sender, released.round_number, released.slots)
        for slot in released.slots:
            if released.recipient == self._membership.incarnation.name:
                share.reserved_until[slot] = now + RESERVATION_S
                share.set_aside_until.pop(slot, None)
            elif released.recipient:
                share.set_aside_until[slot] = now + RESERVATION_S
        return []

    # ---- use
    def demands(self, now: float) -> list[BudgetDemand]:
        """What other members are to know of this worker's part in each budget."""
        return [share.demand(now) for share in self.shares.values()]

    def acquire(self, budget: str, now: float) -> int | None:
        """A ticket for one use of a budget that begins now, or None; none of a budget that is unknown."""
        share = self.shares.get(budget)
        return share.meter.acquire(now) if share is not None and not self.yielded else None

    def release(self, budget: str, ticket: int) -> None:
        """The use of this ticket has ended."""
        share = self.shares.get(budget)
        if share is not None:
            share.meter.release(ticket)

    def held_amount(self, budget: str, now: float) -> int:
        """The amount of a budget that this worker holds; 0 where there is no such budget."""
        share = self.shares.get(budget)
        return share.holder.amount(now) if share is not None and not self.yielded else 0

    def record_demand(self, budget: str, granted: bool, now: float) -> None:
        """Counts a wish for a use of a budget that is enforced elsewhere."""
        share = self.shares.get(budget)
        if share is not None:
            share.meter.record_demand(now, granted)
