"""Runs nodes of two versions together: `python -m features.mixed_versions OLD`.

OLD is a checkout of the other version. Half of the nodes run from its source
code, and so does every other `publish` and `status` command.
"""

import json
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from demo.process_group import ProcessGroup
from features.support.mixed_fleet import MixedFleet
from features.support.process_cluster import make_key


def main(old_checkout: str) -> int:
    """Runs a fleet of both versions and returns 0 if all checks passed."""
    with (
        tempfile.TemporaryDirectory(prefix="rhubarbpaddle-") as name,
        ProcessGroup(Path(name)) as group,
    ):
        fleet = MixedFleet(group, Path(name), Path(old_checkout) / "src")
        checks = dict(run(fleet))
    for check, passed in checks.items():
        print(f"{'ok' if passed else 'FAILED'}: {check}")
    print(f"{sum(checks.values())} of {len(checks)} checks passed")
    return 0 if all(checks.values()) else 1


def run(fleet: MixedFleet) -> list[tuple[str, bool]]:
    """Publishes configurations, sends requests and replaces nodes.

    Returns:
        The name of each check and whether it passed.
    """
    checks: list[tuple[str, bool]] = []

    def check_paths(when: str) -> None:
        paths = fleet.count_paths()
        print(f"{when}: {dict(paths)}")
        versions = set(fleet.versions.values())
        expected = {f"{a} to {b}" for a in versions for b in versions}
        checks.append(
            (f"{when}: requests cross versions", expected == set(paths))
        )

    def check_status(when: str, version: str, expected: int) -> None:
        nodes = json.loads(fleet.read_status(version))["nodes"]
        found = Counter(node["version"] for node in nodes.values())
        print(f"{when}: status of {version} shows versions {dict(found)}")
        checks.append(
            (f"{when}: status", found == {expected: len(fleet.nodes)})
        )

    fleet.start()
    fleet.publish("old", None)
    fleet.wait_until_ready()
    check_status("published with old", "new", 1)
    check_paths("both versions")
    fleet.publish("new", "costa-c")
    time.sleep(2.0)
    check_status("published with new", "old", 2)
    keys = [make_key() for _ in fleet.nodes]
    documents = [
        fleet.send(*pair) for pair in zip(fleet.nodes, keys, strict=True)
    ]
    all_succeeded = all(document["status"] == 200 for document in documents)
    checks.append(("keyed requests run", all_succeeded))
    replays = fleet.count_replays(keys)
    print(f"{replays} of {len(keys) * len(fleet.nodes)} repeated keys replayed")
    checks.append(("both versions replay", replays == len(keys) ** 2))

    for name in (fleet.nodes[0].name, fleet.nodes[1].name):
        fleet.replace(name)
    fleet.publish("old", None)
    fleet.wait_until_ready()
    check_status("one node of each version replaced", "new", 3)
    check_paths("one node of each version replaced")

    for node in fleet.nodes:
        if fleet.versions[node.name] == "old":
            fleet.replace(node.name)
    fleet.wait_until_ready()
    check_status("all nodes new", "new", 3)
    check_paths("all nodes new")
    replays = fleet.count_replays(keys)
    checks.append(("new nodes replay old claims", replays == len(keys) ** 2))
    return checks


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
