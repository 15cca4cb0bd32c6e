"""Commands that change the membership of the control group."""

from hemlockdock_cli.show import show


class Members:
    """Change the membership of the control group, one member at a time.

    Parameters
    ----------
    client : AdminClient
    """

    def __init__(self, client):
        self._client = client

    def add(self, member, json=False):
        """Add a running member as a non-voter.

        Parameters
        ----------
        member : str
        json : bool, optional
        """
        self._post(f"{member}/add", json)

    def promote(self, member, json=False):
        """Promote a non-voter that has caught up to a voter.

        Parameters
        ----------
        member : str
        json : bool, optional
        """
        self._post(f"{member}/promote", json)

    def remove(self, member, json=False):
        """Remove a member from the group.

        Parameters
        ----------
        member : str
        json : bool, optional
        """
        self._post(f"{member}/remove", json)

    def replace(self, old, new, json=False):
        """Replace a member by a non-voter that has caught up.

        Parameters
        ----------
        old : str
        new : str
        json : bool, optional
        """
        self._post(f"{old}/replace/{new}", json)

    def _post(self, path, as_json):
        show(self._client.call("POST", f"/v1/members/{path}", b""), as_json)
