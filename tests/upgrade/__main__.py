"""`python -m tests.upgrade --base CHECKOUT [--order NAME] [--folder FOLDER]`: exit code 0 if all pass.

Replaces each process of an installation of the base by one of the version that runs this command, once from
the acceptors to the gateways and once in the opposite order.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from functools import partial
from pathlib import Path

from tests.fleet.procs.fake_resource import FakeResource
from tests.fleet.procs.installation import ROOT
from tests.upgrade.checkout import Checkout
from tests.upgrade.play import ORDERS, Upgrade

report = partial(print, flush=True)


async def run_upgrade(folder: Path, base: Checkout, new: Checkout, order: str) -> bool:
    """Run one upgrade in `folder` and return whether it passed."""
    resource = FakeResource()
    await resource.open()
    began = time.monotonic()
    report(f"upgrade in place, {order}: {base.root} -> {new.root}")
    upgrade = Upgrade(folder, base, new, resource, report)
    try:
        result = await asyncio.to_thread(upgrade.run, ORDERS[order])
    finally:
        resource.server.close()
    report(f"{result}\n{order}: {time.monotonic() - began:.0f} s\n")
    return not result.faults


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.upgrade", description=__doc__)
    parser.add_argument("--base", type=Path, required=True, help="a checkout of the base with its own .venv")
    parser.add_argument("--order", choices=[*ORDERS, "both"], default="both")
    parser.add_argument(
        "--folder", type=Path, help="for settings, stores and logs; default: a new temporary folder"
    )
    arguments = parser.parse_args()
    base = Checkout.of_base(arguments.base)
    new = Checkout.of_this_version(ROOT)
    top = arguments.folder or Path(tempfile.mkdtemp(prefix="upgrade-"))
    passed = []
    for order in ORDERS if arguments.order == "both" else [arguments.order]:
        folder = top / order.replace(" ", "-")
        folder.mkdir(parents=True)
        passed.append(asyncio.run(run_upgrade(folder, base, new, order)))
    report(f"{sum(passed)} of {len(passed)} upgrades passed; stores and logs in {top}")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
