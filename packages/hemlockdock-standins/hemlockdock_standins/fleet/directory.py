"""Stand-in for a platform's endpoint directory."""

import msgspec
from twisted.web.resource import Resource

PATH = b"/endpoints"


class FleetDirectory(Resource):
    """Serve the list of endpoints in hemlockdock's native format.

    Attributes
    ----------
    row_by_id : dict of str to EndpointRow
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.row_by_id = {}

    def render_GET(self, request):
        """Return all endpoints."""
        if request.path != PATH:
            request.setResponseCode(404)
            return b""
        return msgspec.json.encode(list(self.row_by_id.values()))
