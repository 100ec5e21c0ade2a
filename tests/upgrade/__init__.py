"""Test of an upgrade in place: the processes of an installation of the base version are replaced one by one.

`python -m tests.upgrade --base CHECKOUT` runs the upgrade and prints a report. It requires a checkout of the
base with its own virtual environment in `.venv`, so CI does not run it. The checks of logs and stores are
pure functions (`checks.py`) and have unit tests.
"""
