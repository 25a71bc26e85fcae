import ast
import re
from pathlib import Path

from behave import then, when
from behave.runner import Context

_LOG_METHODS = frozenset({"info", "notice", "warn", "error"})
_EVENT = re.compile(r"`([a-z]+(?:_[a-z]+)+)`")


def _is_log_method(func: ast.expr) -> bool:
    if isinstance(func, ast.Attribute):
        return func.attr in _LOG_METHODS
    # A method that was chosen before the call.
    return isinstance(func, ast.Name) and func.id == "log_event"


def _get_event(node: ast.AST) -> str | None:
    """Returns the event that a call logs, or None for another node."""
    if (
        isinstance(node, ast.Call)
        and _is_log_method(node.func)
        and node.args
        and isinstance(node.args[0], ast.Constant)
        and isinstance(node.args[0].value, str)
    ):
        return node.args[0].value
    return None


@when("the events of the code and of docs/OPERATIONS.md are collected")
def step_collect(context: Context) -> None:
    trees = (ast.parse(p.read_text()) for p in Path("src").rglob("*.py"))
    context.logged = {
        event
        for tree in trees
        for node in ast.walk(tree)
        if (event := _get_event(node))
    }
    page = Path("docs/OPERATIONS.md").read_text().partition("## ")[2]
    rows = [
        line.split("|")[1]
        for line in page.partition("\n## ")[0].splitlines()
        if line.startswith("| `")
    ]
    context.listed = {event for row in rows for event in _EVENT.findall(row)}


@then("both are the same")
def step_compare(context: Context) -> None:
    assert context.logged == context.listed, context.logged ^ context.listed
