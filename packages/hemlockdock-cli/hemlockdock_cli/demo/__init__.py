"""End-to-end demo that runs in one process."""

from hemlockdock_cli.demo.cluster import DemoCluster
from hemlockdock_cli.demo.run import run_demo

__all__ = ["DemoCluster", "run_demo"]
