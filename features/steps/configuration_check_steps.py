import json
import urllib.request

from behave import given, then
from behave.runner import Context

from features.steps.cli_commands_steps import get_folder
from standins.platform_documents import (
    make_configuration_document,
    make_organisation_entry,
    make_route_entry,
)

_SERVICE = "lanes"


@given('the document "{name}" of version {version:d} with these entries')
def step_document(context: Context, name: str, version: int) -> None:
    document = make_configuration_document(version, [], _SERVICE, 14.0, 3.0)
    service_spec = document["resources"][0]["spec"]
    entries = []
    for row in context.table:
        kind, spec = row["kind"], json.loads(row["spec"])
        if kind == "routes":
            entry = make_route_entry(
                row["name"], "club.example", "/", "idempotent", _SERVICE
            )
        elif kind == "tenants":
            entry = make_organisation_entry(row["name"], [row["name"]])
        else:
            entry = {
                "entryKind": kind,
                "metadata": {"name": row["name"]},
                "spec": dict(service_spec),
            }
        entry["spec"].update(spec)
        entries.append(entry)
    document["resources"] = entries + document["resources"]
    (get_folder(context) / name).write_text(json.dumps(document))


@given('an upstream of "{service}" that is announced to one node')
def step_announce(context: Context, service: str) -> None:
    document = {
        "service": service,
        "instance": "i",
        "address": "127.0.0.1:1",
        "incarnation": 1,
        "state": "warm",
    }
    url = f"http://{context.addresses['NODE']}/announcements"
    content = json.dumps(document).encode()
    with urllib.request.urlopen(url, content) as response:
        assert response.status < 300, response.status


@then("it exits with {code:d} and has exactly these findings")
def step_findings(context: Context, code: int) -> None:
    assert context.exit_code == code, context.printed
    found = [
        (finding["code"], finding["subject"])
        for finding in json.loads(context.output)["findings"]
    ]
    assert found == [tuple(row.cells) for row in context.table], found


@then('it does not print "{text}"')
def step_not_printed(context: Context, text: str) -> None:
    assert text not in context.printed, context.printed
