"""Processes of the program for tests, forked from a process that has imported the program.

A test therefore does not wait for imports. Each process has its own memory and signals, is started with the
arguments that an operator uses, and contains no fakes.
"""

from __future__ import annotations

import os
import sys
from multiprocessing import get_context
from multiprocessing.process import BaseProcess
from pathlib import Path

CONTEXT = get_context("forkserver")
CONTEXT.set_forkserver_preload(
    [
        "linenbridge.cli.commands",
        "linenbridge.cli.publish",
        "linenbridge.distribution.hosting.server",
        "linenbridge.distribution.hosting.relay",
        "linenbridge.distribution.hosting.publisher",
        "linenbridge.distribution.hosting.gateway",
        "linenbridge.fleet.hosting.quorum_member",
        "tests.distribution.hosting.processes",
    ]
)


def _run(arguments: list[str], folder: str, output: str, error: str) -> None:
    """Run `python -m linenbridge ARGUMENTS` in this process; its output is appended to two files."""
    from linenbridge.__main__ import main

    os.chdir(folder)
    for path, number in ((output, 1), (error, 2)):
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        os.dup2(file, number)
        os.close(file)
    os.environ.pop("LB_CONFIG", None)
    sys.argv = ["linenbridge", *arguments]
    sys.exit(main())


def start_program(arguments: list[str], folder: Path, output: Path, error: Path) -> BaseProcess:
    """Start the program and return its process, which is killed if the test's process ends first."""
    process = CONTEXT.Process(
        target=_run, args=(arguments, str(folder), str(output), str(error)), daemon=True
    )
    process.start()
    return process
