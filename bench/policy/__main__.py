"""Compares the routing policy with baselines.

Prints one line for each run. `--rows FILE` also appends each result as JSON;
`python -m bench.policy.page FILE ...` creates `docs/policy.md` from such files.
Runs of different scenarios may be executed concurrently.
"""

import argparse
import json
import sys
import time
from pathlib import Path

from bench.policy.deployment_size import SIZES
from bench.policy.policies import POLICIES
from bench.policy.run import Run
from bench.policy.scenarios import SCENARIOS


def main(arguments: list[str]) -> int:
    """Runs the selected sizes, scenarios and policies."""
    parser = argparse.ArgumentParser(prog="python -m bench.policy")
    parser.add_argument("--size", default="", help="part of a size's name")
    parser.add_argument("--scene", default="", help="part of a scenario's name")
    parser.add_argument("--policy", default="", help="part of a policy's name")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rows", default="", help="file of JSON lines")
    options = parser.parse_args(arguments)
    for size in SIZES:
        if options.size not in size.name:
            continue
        for scenario in SCENARIOS:
            if options.scene not in scenario.name:
                continue
            for name in POLICIES:
                if options.policy not in name:
                    continue
                started_at = time.perf_counter()
                result = Run(size, scenario, name, options.seed).measure()
                if options.rows:
                    row = {
                        "seed": options.seed,
                        "size": size.name,
                        "scene": scenario.name,
                        "policy": name,
                        **result._asdict(),
                    }
                    with Path(options.rows).open("a") as file:
                        file.write(json.dumps(row) + "\n")
                print(
                    f"{size.name:9} {scenario.name:22} {name:16}"
                    f"{result.p50 * 1e3:8.2f}{result.p99 * 1e3:8.2f}"
                    f"{result.p999 * 1e3:8.2f}{result.refused:9.3%}"
                    f"{result.goodput:8.0f}{result.withdrawal:9.3%}"
                    f"{result.tries:6.2f}{result.measuring:7.2%}"
                    f"{result.noisy_p99 * 1e3:8.1f}{result.noisy_refused:8.2%}"
                    f"  ({time.perf_counter() - started_at:.1f} s)",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
