"""The Hypothesis state machine that generates runs."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from features.promises.interpreter import Interpreter
from features.promises.operation import Operation
from features.promises.world import NODES, SERVICES, ZONES

_NODE = st.sampled_from(NODES)
_HOST = st.sampled_from((*NODES, "log", "caller"))
_SERVICE = st.sampled_from(SERVICES)
_PAUSE = st.sampled_from((0.0, 0.5, 3.0))


class PromiseMachine(RuleBasedStateMachine):
    """Collects operations and executes them at the end of a run.

    They are executed together in one event loop under virtual time, so that
    equal operations give equal runs.

    Attributes:
        totals: Accumulates the counts of all runs, if it is set.
        failed_operations: The operations of the last run that failed.
    """

    totals: Interpreter | None = None
    failed_operations = ""

    def __init__(self) -> None:
        super().__init__()
        self._operations: list[Operation] = []
        self._log_available = True
        self._sent_count = 0

    @rule(seconds=st.sampled_from((0.01, 0.1, 1.0, 3.0, 10.0)))
    def advance(self, seconds: float) -> None:
        self._add("advance", seconds)

    @rule(
        node=_NODE,
        service=_SERVICE,
        kind=st.sampled_from(("get", "large")),
        count=st.integers(1, 12),
    )
    def send_idempotent(
        self, node: str, service: str, kind: str, count: int
    ) -> None:
        self._sent_count += count
        self._add("send", node, service, kind, "GET", count)

    @rule(node=_NODE, service=_SERVICE, count=st.integers(1, 4))
    def send_non_idempotent(self, node: str, service: str, count: int) -> None:
        self._sent_count += count
        self._add("send", node, service, "post", "POST", count)

    @rule(node=_NODE, service=_SERVICE)
    def send_crashing(self, node: str, service: str) -> None:
        self._sent_count += 1
        self._add("send", node, service, "crash", "GET", 1)

    @precondition(lambda self: self._sent_count > 0)
    @rule(node=_NODE, index=st.integers(0, 50))
    def send_again(self, node: str, index: int) -> None:
        self._add("send_again", index, node)

    @rule(node=_NODE, pause=_PAUSE)
    def replace_node(self, node: str, pause: float) -> None:
        self._add("replace_node", node, pause)

    @rule(node=_NODE, pause=_PAUSE)
    def replace_upstream(self, node: str, pause: float) -> None:
        self._add("replace_upstream", node, pause)

    @rule(node=_NODE, seconds=st.sampled_from((0.005, 0.2, 5.0)))
    def slow_down(self, node: str, seconds: float) -> None:
        self._add("slow_down", node, seconds)

    @rule(node=_NODE, failing=st.booleans())
    def fail_requests(self, node: str, failing: bool) -> None:
        self._add("fail_requests", node, failing)

    @rule(first=_HOST, second=_HOST, both=st.booleans())
    def block(self, first: str, second: str, both: bool) -> None:
        self._add("block", first, second)
        if both:
            self._add("block", second, first)

    @rule(first=_HOST, second=_HOST)
    def silence(self, first: str, second: str) -> None:
        self._add("silence", first, second)

    @rule(first=_HOST, second=_HOST)
    def cut(self, first: str, second: str) -> None:
        self._add("cut", first, second)

    @rule()
    def toggle_log(self) -> None:
        self._log_available = not self._log_available
        self._add("set_log_available", self._log_available)

    @rule(count=st.integers(1, 5))
    def lose_log_responses(self, count: int) -> None:
        self._add("lose_log_responses", count)

    @rule(
        zones=st.frozensets(st.sampled_from(ZONES), max_size=1),
        race=st.booleans(),
    )
    def publish(self, zones: frozenset[str], race: bool) -> None:
        self._add("publish", zones, race)

    def teardown(self) -> None:
        """Executes the collected operations."""
        if not self._operations:
            return
        interpreter = Interpreter(seed=len(self._operations))
        try:
            interpreter.run(self._operations)
        except BaseException:
            PromiseMachine.failed_operations = " ".join(
                map(str, self._operations)
            )
            raise
        if self.totals is not None:
            self.totals.operations.update(interpreter.operations)
            self.totals.checked.update(interpreter.checked)

    def _add(self, name: str, *arguments: object) -> None:
        self._operations.append(Operation(name, arguments))


def print_totals(totals: Interpreter) -> None:
    """Prints the numbers of operations and checks in a series of runs."""
    operations = ", ".join(
        f"{name} {count}" for name, count in sorted(totals.operations.items())
    )
    checked = ", ".join(
        f"{name} {count}" for name, count in sorted(totals.checked.items())
    )
    print(f"steps: {sum(totals.operations.values())} ({operations})")
    print(f"checks: {checked}", flush=True)
