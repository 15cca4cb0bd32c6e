"""Client for the platform's directory of endpoints, read by the leader."""

import logging

from twisted.internet.defer import inlineCallbacks

from hemlockdock_core.http import CallFailedError
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

PAGE_TIMEOUT_S = 1.0
MAX_PAGES = 200


class DirectoryReader:
    """Read the paginated directory and log when it becomes unreachable or reachable again.

    Parameters
    ----------
    settings : Settings
    wire : Wire
    client : HttpClient
    """

    def __init__(self, settings, wire, client):
        self._address = settings.fleet.directory
        self._wire = wire
        self._client = client
        self._reachable = True
        self._reading = False

    @inlineCallbacks
    def read(self):
        """Read all pages of the directory.

        Returns
        -------
        Deferred of list of ListedEndpoint, or None
            None if the directory could not be read completely, or if another read is in progress.
        """
        if self._reading:
            return None
        self._reading = True
        try:
            endpoints = yield self._read_pages()
        except (CallFailedError, ValueError) as error:
            self._set_reachable(False, str(error))
            return None
        finally:
            self._reading = False
        self._set_reachable(True, "")
        return endpoints

    @inlineCallbacks
    def _read_pages(self):
        endpoints = []
        page_token = ""
        for _ in range(MAX_PAGES):
            COUNTERS.increment("directory_calls")
            path = self._wire.directory_path(page_token)
            body = yield self._client.read(self._address, path, PAGE_TIMEOUT_S)
            page = self._wire.decode_directory(body)
            if page.unreadable:
                COUNTERS.increment("directory_entries_unreadable", page.unreadable)
            endpoints.extend(page.endpoints)
            page_token = page.next_page
            if not page_token:
                return endpoints
        raise ValueError(f"directory has more than {MAX_PAGES} pages")

    def _set_reachable(self, reachable, problem):
        if reachable == self._reachable:
            return
        self._reachable = reachable
        COUNTERS.increment("directory_changes", state="regained" if reachable else "lost")
        logger.info(
            "directory " + ("reachable again" if reachable else "unreachable"),
            extra={"problem": problem},
        )
