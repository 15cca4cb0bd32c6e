"""Try placement against a load, in virtual time, and compare it with simpler ways."""

from hemlockdock_cli.lab.experiment import run_experiment, table
from hemlockdock_cli.lab.plot import draw_waits

__all__ = ["draw_waits", "run_experiment", "table"]
