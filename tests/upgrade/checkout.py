"""The program in one checkout: starts its commands as processes with that checkout's sources and interpreter.

Owns the environment of these processes. They share nothing with the process that starts them.
"""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path


class CheckoutProcess:
    """One process, with the interface of `multiprocessing` that the installation of the tests uses."""

    def __init__(self, process: subprocess.Popen) -> None:
        self._process = process

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def exitcode(self) -> int | None:
        return self._process.poll()

    def terminate(self) -> None:
        self._process.terminate()

    def kill(self) -> None:
        self._process.kill()

    def join(self, timeout: float | None = None) -> None:
        """Wait for the end of the process, `timeout` seconds at most."""
        try:
            self._process.wait(timeout)
        except subprocess.TimeoutExpired:
            return


@dataclass(frozen=True, slots=True)
class Checkout:
    """A checkout of the repository at `root`; `label` stands for it in reports."""

    label: str
    root: Path
    python: Path

    @classmethod
    def of_base(cls, root: Path) -> Checkout:
        """A checkout with an environment of its own; FileNotFoundError where either is absent."""
        found = cls("base", root.resolve(), root.resolve() / ".venv" / "bin" / "python")
        for path in (found.root / "linenbridge" / "__main__.py", found.python):
            if not path.exists():
                raise FileNotFoundError(f"{path}: not a checkout with a virtual environment")
        return found

    @classmethod
    def of_this_version(cls, root: Path) -> Checkout:
        """The checkout that this process runs from, with this process's interpreter."""
        return cls("new", root, Path(sys.executable))

    def launch(self, arguments: list[str], folder: Path, output: Path, error: Path) -> CheckoutProcess:
        """Start `python -m linenbridge ARGUMENTS` in `folder`; `output` and `error` are appended to."""
        environment = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
        with output.open("ab") as output_file, error.open("ab") as error_file:
            process = subprocess.Popen(
                [str(self.python), "-m", "linenbridge", *arguments],
                cwd=folder,
                stdin=subprocess.DEVNULL,
                stdout=output_file,
                stderr=error_file,
                env={**environment, "PYTHONPATH": str(self.root)},
            )
        return CheckoutProcess(process)
