"""Remember endpoints that said in a response that they leave, before the directory says so."""

import msgspec


class LeavingEndpoints:
    """The endpoints whose responses announced that they leave.

    An endpoint that starts again under its id is recognized once the directory has shown it as
    leaving or absent, or once it has refused a connection.
    """

    def __init__(self):
        self._listed_as_leaving_by_id = {}

    def add(self, endpoint_id):
        """Record that an endpoint announced that it leaves.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        bool
            Whether this is news.
        """
        if endpoint_id in self._listed_as_leaving_by_id:
            return False
        self._listed_as_leaving_by_id[endpoint_id] = False
        return True

    def remove(self, endpoint_id):
        """Forget an endpoint, because its process has ended.

        Parameters
        ----------
        endpoint_id : str
        """
        self._listed_as_leaving_by_id.pop(endpoint_id, None)

    def update(self, row_by_id):
        """Forget the endpoints that have left.

        Parameters
        ----------
        row_by_id : dict of str to EndpointRow
        """
        for endpoint_id, was_leaving in list(self._listed_as_leaving_by_id.items()):
            row = row_by_id.get(endpoint_id)
            if row is None or (was_leaving and not row.leaving):
                del self._listed_as_leaving_by_id[endpoint_id]
                continue
            self._listed_as_leaving_by_id[endpoint_id] = row.leaving

    def apply(self, row):
        """Return an endpoint's row, marked as leaving if the endpoint announced it.

        Parameters
        ----------
        row : EndpointRow

        Returns
        -------
        EndpointRow
        """
        if row.leaving or row.retiring or row.endpoint_id not in self._listed_as_leaving_by_id:
            return row
        return msgspec.structs.replace(row, leaving=True)
