"""Authenticate operators."""

import hashlib
import hmac
import ipaddress
import logging
import re
from pathlib import Path

from result import Err, Ok

from hemlockdock_core.errors import ErrorKind, Refusal

logger = logging.getLogger(__name__)

LOCAL_OPERATOR = "local"
SCHEME = "Bearer "
DIGEST_PATTERN = re.compile(r"^[0-9a-f]{64}$")


class Operators:
    """Check bearer tokens against a file of token hashes.

    Parameters
    ----------
    settings : hemlockdock_core.settings.Settings
    """

    def __init__(self, settings):
        self._path = settings.control.tokens_file
        self._digest_by_name = {}
        self._modified_ns = None

    def authenticate(self, authorization, peer_host):
        """Return the operator's name, or a refusal.

        Parameters
        ----------
        authorization : str
            Value of the Authorization header; empty if there is none.
        peer_host : str
            IP address that the request came from.

        Returns
        -------
        result.Result of (str, Refusal)
        """
        if not self._path:
            if ipaddress.ip_address(peer_host).is_loopback:
                return Ok(LOCAL_OPERATOR)
            message = "without control.tokens_file only this host's own requests are taken"
            return Err(Refusal.of(ErrorKind.UNAUTHORIZED, message))
        self._read_if_changed()
        if not authorization.startswith(SCHEME):
            return Err(Refusal.of(ErrorKind.UNAUTHORIZED, "a bearer token"))
        token = authorization.removeprefix(SCHEME).strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = ""
        for name, known in self._digest_by_name.items():
            # Compares every entry, so that the duration reveals nothing about the known tokens.
            if hmac.compare_digest(known, digest):
                found = name
        if not found:
            return Err(Refusal.of(ErrorKind.UNAUTHORIZED, "a known bearer token"))
        return Ok(found)

    def _read_if_changed(self):
        path = Path(self._path)
        try:
            modified_ns = path.stat().st_mtime_ns
            if modified_ns == self._modified_ns:
                return
            text = path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            logger.error("cannot read the tokens file", extra={"problem": str(error)})
            self._digest_by_name = {}
            self._modified_ns = None
            return
        self._modified_ns = modified_ns
        self._digest_by_name = _parse(text)


def _parse(text):
    digest_by_name = {}
    for line in text.splitlines():
        name, _, digest = line.strip().partition(":")
        if not name or name.startswith("#"):
            continue
        if not DIGEST_PATTERN.match(digest):
            logger.error("invalid line in the tokens file", extra={"operator": name})
            continue
        digest_by_name[name] = digest
    return digest_by_name
