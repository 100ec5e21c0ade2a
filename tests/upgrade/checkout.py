"""Starts commands of linenbridge as processes with the sources and the interpreter of one checkout.

The module sets the environment variables of these processes.
"""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path


class CheckoutProcess:
    """A process with the part of the interface of `multiprocessing.Process` that `Installation` uses."""

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
        """Wait until the process has ended, at most `timeout` seconds."""
        try:
            self._process.wait(timeout)
        except subprocess.TimeoutExpired:
            return


@dataclass(frozen=True, slots=True)
class Checkout:
    """A checkout of the repository at `root`; reports identify it by `label`."""

    label: str
    root: Path
    python: Path

    @classmethod
    def of_base(cls, root: Path) -> Checkout:
        """Return the checkout of the base at `root`.

        Raises FileNotFoundError if the sources or the virtual environment `.venv` are absent.
        """
        found = cls("base", root.resolve(), root.resolve() / ".venv" / "bin" / "python")
        for path in (found.root / "linenbridge" / "__main__.py", found.python):
            if not path.exists():
                raise FileNotFoundError(
                    f"{path} does not exist; --base requires a checkout with a virtual environment in .venv"
                )
        return found

    @classmethod
    def of_this_version(cls, root: Path) -> Checkout:
        """Return the checkout of the running code, with the interpreter of this process."""
        return cls("new", root, Path(sys.executable))

    def launch(self, arguments: list[str], folder: Path, output: Path, error: Path) -> CheckoutProcess:
        """Start `python -m linenbridge ARGUMENTS` in `folder`; append its output to `output` and `error`."""
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
