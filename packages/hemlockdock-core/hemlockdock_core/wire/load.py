"""Loading of platform adapters."""

import importlib


def load_wire(settings):
    """Return the platform adapter that the settings name.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    Wire

    Raises
    ------
    ImportError
        If the module can't be imported.
    """
    return find_wire(settings.fleet.wire)


def find_wire(module):
    """Return the platform adapter that a module defines.

    Parameters
    ----------
    module : str
        Dotted name of a module with a ``WIRE`` attribute.

    Returns
    -------
    Wire

    Raises
    ------
    ImportError
        If the module can't be imported.
    """
    return importlib.import_module(module).WIRE
