"""Processes that get a signal while they import their modules."""

import os
import subprocess
import tempfile
from pathlib import Path

# Replaces itself by the module that it hides, after it has sent the signal.
HIDING_MODULE = """
import importlib, os, signal, sys
os.kill(os.getpid(), signal.SIGHUP)
sys.path.remove(os.path.dirname(__file__))
del sys.modules[__name__]
importlib.invalidate_caches()
importlib.import_module(__name__)
"""
TIMEOUT_S = 120


def run_with_sighup_at_import(command, module, folder=None, **variables):
    """Run a program that gets SIGHUP as it imports a module for the first time.

    Parameters
    ----------
    command : list of str
    module : str
    folder : str or pathlib.Path, optional
        In which the program runs.
    **variables : str
        Environment variables beside those of this process.

    Returns
    -------
    subprocess.CompletedProcess
    """
    with tempfile.TemporaryDirectory() as hiding_folder:
        Path(hiding_folder, f"{module}.py").write_text(HIDING_MODULE)
        paths = [hiding_folder, variables.pop("PYTHONPATH", os.environ.get("PYTHONPATH", ""))]
        environment = {**os.environ, **variables, "PYTHONPATH": os.pathsep.join(paths)}
        return subprocess.run(
            command,
            capture_output=True,
            text=True,
            check=False,
            timeout=TIMEOUT_S,
            cwd=folder,
            env=environment,
        )
