"""A queue that shares its capacity fairly between organisations."""

from collections import deque

from rhubarbpaddle.admission.slot_waiter import SlotWaiter


class FairQueue:
    """Serves organisations by deficit round robin with a cost of 1 per request.

    An organisation's requests are served by descending criticality, then in
    order of arrival.

    Attributes:
        weights: The weights of the organisations by name; 1 for others.
    """

    def __init__(self) -> None:
        self.weights: dict[str, int] = {}
        self._queues: dict[str, list[SlotWaiter]] = {}
        self._rotation: deque[str] = deque()
        self._deficits: dict[str, int] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, waiter: SlotWaiter) -> None:
        """Adds a waiter behind those of its organisation and criticality."""
        organisation = waiter.ticket.organisation
        if organisation not in self._queues:
            self._queues[organisation] = []
            self._rotation.append(organisation)
            self._deficits[organisation] = 0
        queue = self._queues[organisation]
        index = len(queue) - self._count_less_critical(waiter)
        queue.insert(index, waiter)
        self._count += 1

    def pop(self) -> SlotWaiter:
        """Removes and returns the next waiter to serve.

        Raises:
            IndexError: The queue is empty.
        """
        organisation = self._rotation[0]
        if self._deficits[organisation] < 1:
            self._deficits[organisation] += self._get_weight(organisation)
        self._deficits[organisation] -= 1
        waiter = self._queues[organisation][0]
        self.remove(waiter)
        if organisation in self._queues and self._deficits[organisation] < 1:
            self._rotation.rotate(-1)
        return waiter

    def remove(self, waiter: SlotWaiter) -> None:
        """Removes a waiter from any position in the queue."""
        organisation = waiter.ticket.organisation
        self._queues[organisation].remove(waiter)
        self._count -= 1
        if not self._queues[organisation]:
            del self._queues[organisation], self._deficits[organisation]
            self._rotation.remove(organisation)

    def count_ahead(self, waiter: SlotWaiter) -> int:
        """Returns how many waiters would be served before a new one."""
        organisation = waiter.ticket.organisation
        own_organisation_count = len(
            self._queues.get(organisation, ())
        ) - self._count_less_critical(waiter)
        rounds = (own_organisation_count + 1) / self._get_weight(organisation)
        other_organisations_count = sum(
            min(len(queue), round(rounds * self._get_weight(name)))
            for name, queue in self._queues.items()
            if name != organisation
        )
        return own_organisation_count + other_organisations_count

    def choose_request_to_shed(self, incoming: SlotWaiter) -> SlotWaiter:
        """Returns the waiter to refuse so that the queue does not grow.

        Only organisations that hold more than their share of the queue lose a
        request. The least critical request of these organisations is chosen,
        and between equally critical ones the newest request of the organisation
        furthest above its share.

        Args:
            incoming: The waiter to add, which may itself be refused.
        """
        counts = {name: len(queue) for name, queue in self._queues.items()}
        organisation = incoming.ticket.organisation
        counts[organisation] = counts.get(organisation, 0) + 1
        total = sum(map(self._get_weight, counts))
        # The counts include the incoming waiter and add up to one more than
        # this, so at least one organisation is above its share.
        queued = self._count
        organisations_over_share = [
            name
            for name, count in counts.items()
            if count * total > queued * self._get_weight(name)
        ]
        candidates = [
            incoming
            if name == organisation and not self._count_less_critical(incoming)
            else self._queues[name][-1]
            for name in organisations_over_share
        ]
        return min(
            candidates,
            key=lambda waiter: (
                waiter.ticket.criticality,
                -counts[waiter.ticket.organisation]
                / self._get_weight(waiter.ticket.organisation),
            ),
        )

    def drain(self) -> list[SlotWaiter]:
        """Removes and returns all waiters."""
        waiters = [w for queue in self._queues.values() for w in queue]
        self._queues.clear()
        self._deficits.clear()
        self._rotation.clear()
        self._count = 0
        return waiters

    def _get_weight(self, organisation: str) -> int:
        return max(1, self.weights.get(organisation, 1))

    def _count_less_critical(self, waiter: SlotWaiter) -> int:
        """Returns how many waiters of its organisation are less critical."""
        criticality = waiter.ticket.criticality
        queue = self._queues.get(waiter.ticket.organisation, ())
        return sum(w.ticket.criticality < criticality for w in queue)
