"""Lists the benchmarks and runs all of them, one after the other."""

import pathlib
import subprocess
import sys
import time


def main() -> int:
    """Runs each benchmark in its own process; returns how many failed."""
    directory = pathlib.Path(__file__).parent
    names = sorted(path.stem for path in directory.glob("bench_*.py"))
    print("benchmarks: " + " ".join(names), flush=True)
    failures = 0
    for name in names:
        print(f"\n== {name}", flush=True)
        started = time.monotonic()
        completed = subprocess.run(
            [sys.executable, "-m", f"benchmarks.{name}"], check=False
        )
        failures += completed.returncode != 0
        print(f"{time.monotonic() - started:.0f} s", flush=True)
    return failures


if __name__ == "__main__":
    sys.exit(main())
