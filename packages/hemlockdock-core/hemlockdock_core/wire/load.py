"""Load the adapter that the settings name."""

import importlib


def load_wire(settings):
    """Return the adapter that the settings name.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    Wire

    Raises
    ------
    ImportError
        Where the module can't be imported.
    """
    return find_wire(settings.fleet.wire)


def find_wire(module):
    """Return an adapter by its module.

    Parameters
    ----------
    module : str

    Returns
    -------
    Wire

    Raises
    ------
    ImportError
        Where the module can't be imported.
    """
    return importlib.import_module(module).WIRE
