"""The upgrade in place: an installation of the base's processes, replaced one at a time by this version's.

`python -m tests.upgrade --base CHECKOUT` plays it and prints a report; it needs a checkout of the base with
its own virtual environment in `.venv`, so it is no part of CI. The checks on what the processes wrote are
pure functions (`checks.py`) with tests of their own.
"""
