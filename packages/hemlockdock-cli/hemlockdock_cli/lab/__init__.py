"""Simulate placement policies on generated workloads, in virtual time, to compare them."""

from hemlockdock_cli.lab.experiment import result_lines, run_experiment
from hemlockdock_cli.lab.plot import plot_waits

__all__ = ["plot_waits", "result_lines", "run_experiment"]
