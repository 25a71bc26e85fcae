"""A queue that is fair between tenants."""

from collections import deque

from rhubarbpaddle.admission.waiter import Waiter


class FairQueue:
    """Deficit round robin over the tenants, with one request as the unit.

    A tenant's requests leave in the order of criticality, then of arrival.
    """

    def __init__(self) -> None:
        self.weights: dict[str, int] = {}
        self._queues: dict[str, list[Waiter]] = {}
        self._ring: deque[str] = deque()
        self._deficits: dict[str, int] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, waiter: Waiter) -> None:
        """Adds a waiter behind its equals."""
        tenant = waiter.ticket.tenant
        if tenant not in self._queues:
            self._queues[tenant] = []
            self._ring.append(tenant)
            self._deficits[tenant] = 0
        queue = self._queues[tenant]
        index = len(queue) - self._count_below(waiter)
        queue.insert(index, waiter)
        self._count += 1

    def pop(self) -> Waiter:
        """Removes the waiter whose turn it is.

        Raises:
            IndexError: The queue is empty.
        """
        tenant = self._ring[0]
        if self._deficits[tenant] < 1:
            self._deficits[tenant] += self._weigh(tenant)
        self._deficits[tenant] -= 1
        waiter = self._queues[tenant][0]
        self.remove(waiter)
        if tenant in self._queues and self._deficits[tenant] < 1:
            self._ring.rotate(-1)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter that no longer waits, wherever it stands."""
        tenant = waiter.ticket.tenant
        self._queues[tenant].remove(waiter)
        self._count -= 1
        if not self._queues[tenant]:
            del self._queues[tenant], self._deficits[tenant]
            self._ring.remove(tenant)

    def count_ahead(self, waiter: Waiter) -> int:
        """Returns how many would be served before a waiter not yet added."""
        tenant = waiter.ticket.tenant
        own = len(self._queues.get(tenant, ())) - self._count_below(waiter)
        rounds = (own + 1) / self._weigh(tenant)
        others = sum(
            min(len(queue), round(rounds * self._weigh(name)))
            for name, queue in self._queues.items()
            if name != tenant
        )
        return own + others

    def pick_victim(self, newcomer: Waiter) -> Waiter:
        """Returns whom to refuse so that the queue does not grow.

        Only a tenant that holds more than its share of the queue loses a
        request. Among these tenants the least critical request goes, of
        equals the newest of the tenant furthest above its share.

        Args:
            newcomer: A waiter not yet added; may be the one to refuse.
        """
        counts = {name: len(queue) for name, queue in self._queues.items()}
        tenant = newcomer.ticket.tenant
        counts[tenant] = counts.get(tenant, 0) + 1
        total = sum(map(self._weigh, counts))
        # One more than the queue holds, so that some tenant is above its share.
        room = self._count
        over = [
            name
            for name, count in counts.items()
            if count * total > room * self._weigh(name)
        ]
        last = [
            newcomer
            if name == tenant and not self._count_below(newcomer)
            else self._queues[name][-1]
            for name in over
        ]
        return min(
            last,
            key=lambda waiter: (
                waiter.ticket.criticality,
                -counts[waiter.ticket.tenant]
                / self._weigh(waiter.ticket.tenant),
            ),
        )

    def drain(self) -> list[Waiter]:
        """Removes and returns all waiters."""
        waiters = [w for queue in self._queues.values() for w in queue]
        self._queues.clear()
        self._deficits.clear()
        self._ring.clear()
        self._count = 0
        return waiters

    def _weigh(self, tenant: str) -> int:
        return max(1, self.weights.get(tenant, 1))

    def _count_below(self, waiter: Waiter) -> int:
        """Counts the tenant's waiters that are less critical."""
        criticality = waiter.ticket.criticality
        queue = self._queues.get(waiter.ticket.tenant, ())
        return sum(w.ticket.criticality < criticality for w in queue)
