"""Print documents as text or as JSON."""

import json

from hemlockdock_cli.tables import section_lines


def show(document, as_json):
    """Print a document as text tables or as indented JSON.

    Parameters
    ----------
    document : dict
    as_json : bool
    """
    if as_json:
        print(json.dumps(document, indent=2))
        return
    for line in section_lines(document):
        print(line)
