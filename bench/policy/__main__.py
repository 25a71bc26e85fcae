"""Compares the routing policy with baselines.

Prints one line per run. `--rows FILE` also appends each as JSON, from which
`python -m bench.policy.page FILE ...` makes `docs/policy.md`. Runs of different
scenes may go on side by side.
"""

import argparse
import json
import sys
import time
from pathlib import Path

from bench.policy.deployment_size import SIZES
from bench.policy.policies import NAMES
from bench.policy.run import Run
from bench.policy.scenarios import SCENES


def main(arguments: list[str]) -> int:
    """Runs what the arguments select."""
    parser = argparse.ArgumentParser(prog="python -m bench.policy")
    parser.add_argument("--size", default="", help="part of a size's name")
    parser.add_argument("--scene", default="", help="part of a scene's name")
    parser.add_argument("--policy", default="", help="part of a policy's name")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rows", default="", help="file of JSON lines")
    options = parser.parse_args(arguments)
    for size in SIZES:
        if options.size not in size.name:
            continue
        for scene in SCENES:
            if options.scene not in scene.name:
                continue
            for name in NAMES:
                if options.policy not in name:
                    continue
                began = time.perf_counter()
                r = Run(size, scene, name, options.seed).measure()
                if options.rows:
                    row = {
                        "seed": options.seed,
                        "size": size.name,
                        "scene": scene.name,
                        "policy": name,
                        **r._asdict(),
                    }
                    with Path(options.rows).open("a") as file:
                        file.write(json.dumps(row) + "\n")
                print(
                    f"{size.name:9} {scene.name:22} {name:16}"
                    f"{r.p50 * 1e3:8.2f}{r.p99 * 1e3:8.2f}"
                    f"{r.p999 * 1e3:8.2f}{r.refused:9.3%}{r.goodput:8.0f}"
                    f"{r.withdrawal:9.3%}{r.tries:6.2f}{r.measuring:7.2%}"
                    f"{r.noisy_p99 * 1e3:8.1f}{r.noisy_refused:8.2%}"
                    f"  ({time.perf_counter() - began:.1f} s)",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
