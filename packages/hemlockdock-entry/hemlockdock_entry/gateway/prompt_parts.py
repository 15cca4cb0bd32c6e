"""Parts of a prompt, which requests share."""

from dataclasses import dataclass, field

# Parts beyond these are neither suspected nor refused.
MAX_PARTS = 32
MAX_ID_CHARACTERS = 64


@dataclass(slots=True)
class Prompt:
    """What a request's prompt shares with others.

    Attributes
    ----------
    parts : tuple of str
        Ids of its parts but the last one.
    trials : set of tuple
        Crashes, by their ids, whose suspects this prompt was let through to tell apart.
    """

    parts: tuple = ()
    trials: set = field(default_factory=set)


def shared_parts(header_value):
    """Return the ids of a prompt's parts but the last one, which is the request's or session's own.

    Parameters
    ----------
    header_value : bytes
        Parts in order, separated by commas, each as id and number of tokens.

    Returns
    -------
    tuple of str
        Without duplicates.
    """
    listed = header_value.decode("latin-1").split(",")[:-1]
    ids = []
    for item in listed[:MAX_PARTS]:
        part_id = item.partition(":")[0].strip()
        if part_id and len(part_id) <= MAX_ID_CHARACTERS and part_id not in ids:
            ids.append(part_id)
    return tuple(ids)
