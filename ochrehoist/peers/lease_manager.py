"""One worker's leases of all budgets: requests, renewals, transfers and permitted uses.

No I/O; times in seconds.
"""

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

REQUEST_INTERVAL_S = 0.2  # minimum time between two requests for the same slot
TRANSFER_INTERVAL_S = 0.1  # minimum time between two transfers of the same budget
SLOT_RESERVATION_S = 1.0  # only the new holder may request a transferred slot during this time


@dataclass
class BudgetShare:
    """One worker's share of one budget, as holder and, if it is one of the grantors, as grantor."""

    grantor: LeaseGrantor | None
    holder: LeaseHolder
    meter: UsageMeter
    last_transfer_at: float = 0.0
    # By slot given away or withdrawn: this worker does not request it before this time.
    request_blocked_until: dict[int, float] = field(default_factory=dict)
    # By slot transferred to this worker: end of its reservation.
    reserved_until: dict[int, float] = field(default_factory=dict)

    def expire_reservations(self, now: float) -> None:
        """Removes expired reservations."""
        for reservations in (self.request_blocked_until, self.reserved_until):
            for slot in [slot for slot, until in reservations.items() if until <= now]:
                del reservations[slot]

    def demand(self, now: float) -> BudgetDemand:
        """Returns this worker's held slots and demand, as reported to other members."""
        demand = self.meter.demand(now)
        reserved = (slot for slot, until in self.reserved_until.items() if until > now)
        mask = slot_mask(self.holder.leases) | slot_mask(reserved)
        return BudgetDemand(self.holder.budget.name, mask, demand.wanted, demand.denied)


class LeaseManager:
    """Holder of this worker's leases, and grantor for the budgets that name this worker as one.

    No budget may be used after `mark_superseded`: another process has then replaced this one as the member.
    """

    def __init__(
        self, membership: Membership, peer_statuses: PeerStatuses, outbound: Outbound, rng: Random
    ) -> None:
        self.shares: dict[str, BudgetShare] = {}  # by budget name
        self.superseded = False
        self._membership = membership
        self._peer_statuses = peer_statuses
        self._outbound = outbound
        self._rng = rng

    def configure(self, budgets: Sequence[Budget], now: float) -> None:
        """Applies new budgets; leases of budgets with unchanged terms remain valid."""
        previous_shares = self.shares
        self.shares = {}
        for budget in budgets:
            share = previous_shares.get(budget.name)
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

    # ---- periodic work
    def tick(self, now: float, leaving: bool) -> list[OutgoingMessage]:
        """Requests, renews, transfers and withdraws leases; if `leaving` is set, requests no new ones."""
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
        # An isolated worker requests no free slots: the reachable members assign them without it.
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
        share.holder.withdrawn_count += len(timed_out)
        messages = self._release(share, timed_out)
        for slot in timed_out:
            share.request_blocked_until[slot] = now + SLOT_RESERVATION_S * (0.5 + self._rng.random())
        return messages

    def _request_free_slots(self, share: BudgetShare, peers: dict[str, PeerDemand], now: float) -> None:
        own_name = self._membership.incarnation.name
        alive = {own_name, *self._membership.live_names()} - self._peer_statuses.leaving_names()
        own_slots = set(share.holder.leases) | set(share.request_blocked_until)
        for slot in slots_to_request(share.holder.budget, own_name, own_slots, alive, peers):
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
        share.request_blocked_until[transfer.slot] = now + SLOT_RESERVATION_S
        return self._release(share, [transfer.slot], transfer.recipient)

    def _send_requests(self, share: BudgetShare, now: float) -> list[OutgoingMessage]:
        budget = share.holder.budget
        round_number, slots = share.holder.due_slots(now, REQUEST_INTERVAL_S)
        if not slots:
            return []
        own_incarnation = self._membership.incarnation
        if share.grantor is not None:
            granted = share.grantor.grant(own_incarnation, budget.terms_digest, round_number, slots, now)
            share.holder.record_grant(own_incarnation.name, round_number, granted, now)
        request = LeaseRequest(budget.name, budget.terms_digest, round_number, slots)
        messages = []
        for grantor in budget.grantors:
            if grantor != own_incarnation.name:
                messages += self._outbound.to_configured_address(grantor, [request])
        return messages

    # ---- releasing
    def _release(
        self, share: BudgetShare, slots: Iterable[int], recipient: str = ""
    ) -> list[OutgoingMessage]:
        """Releases slots to the grantors; `recipient`, if given, may request them."""
        own_incarnation = self._membership.incarnation
        round_number, dropped = share.holder.drop(slots)
        if not dropped:
            return []
        if share.grantor is not None:
            share.grantor.release(own_incarnation, round_number, dropped)
        names = set(share.holder.budget.grantors) | ({recipient} if recipient else set())
        released = LeaseReleased(share.holder.budget.name, round_number, dropped, recipient)
        messages = []
        for name in sorted(names - {own_incarnation.name}):
            messages += self._outbound.to_member(name, [released])
        return messages

    def release_all(self) -> list[OutgoingMessage]:
        """Releases all leases; the leases of a budget with runs in progress expire instead."""
        messages: list[OutgoingMessage] = []
        for share in self.shares.values():
            if share.meter.runs:
                share.holder.drop(list(share.holder.leases))
            else:
                messages += self._release(share, list(share.holder.leases))
        return messages

    def mark_superseded(self) -> list[OutgoingMessage]:
        """Releases all leases permanently: another process has replaced this one as the member."""
        self.superseded = True
        return self.release_all()

    # ---- receiving
    def on_request(self, request: LeaseRequest, sender: Incarnation, now: float) -> list[OutgoingMessage]:
        """Grants the requested slots that are free, if this worker is a grantor of the budget."""
        share = self.shares.get(request.budget)
        if share is None or share.grantor is None:
            return []
        granted = share.grantor.grant(sender, request.terms_digest, request.round_number, request.slots, now)
        if not granted:
            return []
        answer = LeaseGranted(request.budget, request.round_number, granted)
        return self._outbound.to_member(sender.name, [answer])

    def on_granted(self, granted: LeaseGranted, sender: Incarnation, now: float) -> list[OutgoingMessage]:
        """Records a grantor's answer."""
        share = self.shares.get(granted.budget)
        if share is not None and not self.superseded:
            share.holder.record_grant(sender.name, granted.round_number, granted.slots, now)
        return []

    def on_released(self, released: LeaseReleased, sender: Incarnation, now: float) -> list[OutgoingMessage]:
        """Processes the release of slots by another worker, and the reservation for their recipient."""
        share = self.shares.get(released.budget)
        if share is None:
            return []
        if share.grantor is not None:
            share.grantor.release(sender, released.round_number, released.slots)
        for slot in released.slots:
            if released.recipient == self._membership.incarnation.name:
                share.reserved_until[slot] = now + SLOT_RESERVATION_S
                share.request_blocked_until.pop(slot, None)
            elif released.recipient:
                share.request_blocked_until[slot] = now + SLOT_RESERVATION_S
        return []

    # ---- use
    def demands(self, now: float) -> list[BudgetDemand]:
        """Returns this worker's held slots and demand for each budget, as reported to other members."""
        return [share.demand(now) for share in self.shares.values()]

    def acquire(self, budget: str, now: float) -> int | None:
        """Returns a ticket for one use that begins now; None if denied or if the budget is unknown."""
        share = self.shares.get(budget)
        return share.meter.acquire(now) if share is not None and not self.superseded else None

    def release(self, budget: str, ticket: int) -> None:
        """Ends the use of this ticket."""
        share = self.shares.get(budget)
        if share is not None:
            share.meter.release(ticket)

    def held_amount(self, budget: str, now: float) -> int:
        """Returns the amount of a budget that this worker holds; 0 if the budget is unknown."""
        share = self.shares.get(budget)
        return share.holder.amount(now) if share is not None and not self.superseded else 0

    def record_demand(self, budget: str, granted: bool, now: float) -> None:
        """Counts demand for one use of a budget that is enforced elsewhere."""
        share = self.shares.get(budget)
        if share is not None:
            share.meter.record_demand(now, granted)
