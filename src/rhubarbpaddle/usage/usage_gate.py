"""Obtains the tokens for the requests of one gateway."""

import math
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.usage.fleet_view import FleetView
from rhubarbpaddle.usage.owner_search import OwnerSearch
from rhubarbpaddle.usage.token_bucket import TokenBucket
from rhubarbpaddle.usage.usage_account import UsageAccount
from rhubarbpaddle.usage.usage_cap import UsageCap
from rhubarbpaddle.usage.usage_owner import UsageOwner
from rhubarbpaddle.usage.usage_query import UsageQuery
from rhubarbpaddle.usage.usage_token import UsageToken

_OBSERVATION_INTERVAL = timedelta(milliseconds=200)
# How soon the owner gets back tokens of requests that were refused elsewhere.
_RETURN_INTERVAL = timedelta(milliseconds=50)
_RETURN_TIMEOUT_SECONDS = 0.1
_MAX_WAIT_SECONDS = 60.0
# A node that has contact finds another one to ask within this time, once it
# knows which ones are silent.
_MAX_SEARCH_SECONDS = 0.25


class UsageGate:
    """Lets requests pass if the usage cap of their organisation permits.

    Attributes:
        results: How many requests were `granted` a token, how many of them of
            the local `allowance`, and how many were `refused`.
    """

    def __init__(
        self,
        fleet: FleetView,
        owner: UsageOwner,
        search: OwnerSearch,
        clock: Clock,
    ) -> None:
        """Creates a gate without tokens.

        Args:
            fleet: Knows the owner of each cap.
            owner: Grants the tokens of the caps that this node owns.
            search: Finds the node that decides about a query.
            clock: The source of time.
        """
        self._fleet = fleet
        self._owner = owner
        self._search = search
        self._clock = clock
        self._accounts: dict[str, UsageAccount] = {}
        self._to_return: set[str] = set()
        self._has_returns = trio.Event()
        self.results: Counter[str] = Counter()

    def get_results(self) -> Mapping[str, int]:
        """Returns `results`, and the number of queries `sent` to others."""
        if not self.results and not self._search.sent_count:
            return {}
        return {**self.results, "sent": self._search.sent_count}

    async def acquire(
        self, organisation: str, cap: UsageCap, until: float, latest: float
    ) -> UsageToken:
        """Returns a token for a request.

        Args:
            organisation: The name of the request's organisation.
            cap: Its usage cap.
            until: Monotonic seconds until which other nodes may be asked.
            latest: Monotonic seconds until which the owner may be asked again
                if no node has responded and there is no allowance.

        Raises:
            RefusedError: The usage cap is reached.
        """
        now = self._clock.monotonic()
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = UsageAccount(now)
        account.demand.add(1, now)
        token = account.take(now)
        if token is None:
            self._check_refused(account)
            token = await self._wait_in_turn(
                organisation, account, cap, until, latest
            )
        self.results["granted"] += 1
        return token

    def put_back(self, organisation: str, token: UsageToken) -> None:
        """Returns the token of a request that has not run."""
        account = self._accounts[organisation]
        account.put_back(token, self._clock.monotonic())
        if account.returnable:
            self._to_return.add(organisation)
            self._has_returns.set()

    async def run(self) -> None:
        """Observes the fleet and returns unused tokens, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_returns)
            while True:
                self._fleet.observe()
                self._owner.log_returns_to_cap()
                await self._clock.sleep(_OBSERVATION_INTERVAL)

    async def _run_returns(self) -> None:
        while True:
            await self._has_returns.wait()
            await self._clock.sleep(_RETURN_INTERVAL)
            self._has_returns = trio.Event()
            while self._to_return:
                await self._return_tokens(self._to_return.pop())

    async def _return_tokens(self, organisation: str) -> None:
        now = self._clock.monotonic()
        returned = self._accounts[organisation].take_returnable(now)
        if returned:
            query = UsageQuery(organisation, needed=0, returned=returned)
            await self._search.ask_in_turn(
                query,
                self._accounts[organisation].get_other_owner_age,
                now + _RETURN_TIMEOUT_SECONDS,
            )

    async def _wait_in_turn(
        self,
        organisation: str,
        account: UsageAccount,
        cap: UsageCap,
        until: float,
        latest: float,
    ) -> UsageToken:
        """Waits until the task that asks for tokens has some for this request.

        Raises:
            RefusedError: The usage cap is reached, or may be.
        """
        for end in (until, latest):
            with trio.move_on_at(end):
                await account.lock.acquire()
                break
            token = self._take_allowance(account, cap)
            if token is not None:
                return token
        else:
            raise self._make_unknown_refusal(account)
        try:
            return await self._wait_for_token(
                organisation, account, cap, until, latest
            )
        finally:
            account.lock.release()

    async def _wait_for_token(
        self,
        organisation: str,
        account: UsageAccount,
        cap: UsageCap,
        until: float,
        latest: float,
    ) -> UsageToken:
        """Asks for tokens for all requests that wait for the account's lock.

        Returns:
            The token of the request that holds the lock.

        Raises:
            RefusedError: The usage cap is reached, or may be.
        """
        now = self._clock.monotonic()
        token = account.take(now)
        if token is not None:
            return token
        self._check_refused(account)
        query = UsageQuery(
            organisation,
            needed=1 + account.lock.statistics().tasks_waiting,
            extra=account.get_extra(now),
            refused=account.refused,
            returned=account.take_returnable(now),
        )
        response = await self._search.ask_in_turn(
            query, account.get_other_owner_age, until
        )
        if response is None:
            token = self._take_allowance(account, cap)
            if token is not None:
                return token
            response = await self._search.ask_owner_again(query, latest)
        if response is None:
            raise self._make_unknown_refusal(account)
        member, grant = response
        now = self._clock.monotonic()
        account.refused -= query.refused
        account.apply(grant, member.node_id, now)
        token = account.take(now)
        if token is None:
            raise self._make_refusal(account, grant.wait)
        return token

    def _check_refused(self, account: UsageAccount) -> None:
        """Refuses a request while the owner is known to have no token.

        Raises:
            RefusedError: The owner has none yet.
        """
        wait = account.get_wait(self._clock.monotonic())
        if wait > 0:
            raise self._make_refusal(account, wait)

    def _take_allowance(
        self, account: UsageAccount, cap: UsageCap
    ) -> UsageToken | None:
        """Takes a token of this node's part of what substitutes may grant."""
        if not self._fleet.is_size_known:
            # Each node of a fleet that has just restarted would take itself for
            # the only one.
            return None
        now = self._clock.monotonic()
        rate = cap.substitute_rate / self._fleet.size
        if account.allowance is None:
            level = min(1.0, cap.substitute_capacity / self._fleet.size)
            account.allowance = TokenBucket(level, rate, 1.0, now)
        account.allowance.refill(now, rate, 1.0)
        if not account.allowance.take(1):
            return None
        self.results["allowance"] += 1
        return UsageToken(now, usage_ratio=0.0)

    def _make_unknown_refusal(self, account: UsageAccount) -> RefusedError:
        """Returns the refusal of a request about which no node has decided."""
        wait = _MAX_SEARCH_SECONDS
        if self._fleet.is_size_known and account.allowance is not None:
            wait = account.allowance.get_wait()
            if self._fleet.has_contact:
                wait = min(wait, _MAX_SEARCH_SECONDS)
        return self._make_refusal(account, wait)

    def _make_refusal(self, account: UsageAccount, wait: float) -> RefusedError:
        account.refused += 1
        self.results["refused"] += 1
        milliseconds = math.ceil(1000 * min(wait, _MAX_WAIT_SECONDS))
        return RefusedError(
            "usage_cap",
            "the organisation's usage cap is reached",
            step="usage_cap",
            status=429,
            retry_after=timedelta(milliseconds=milliseconds),
        )
