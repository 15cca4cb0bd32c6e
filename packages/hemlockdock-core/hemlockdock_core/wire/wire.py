"""Interface of platform adapters."""

from dataclasses import dataclass
from typing import Protocol

from hemlockdock_core.wire.headers import HeaderNames


@dataclass(frozen=True, slots=True)
class OperatorPaths:
    """HTTP paths of the operators' API for routes.

    Attributes
    ----------
    submit : bytes
        POST submits and activates a route manifest.
    read : bytes
        GET returns the active route manifest.
    """

    submit: bytes
    read: bytes


class Wire(Protocol):
    """Platform adapter: translates between a platform's formats and hemlockdock's types.

    Attributes
    ----------
    headers : HeaderNames
    operator_paths : OperatorPaths
    ready_path : bytes
        GET returns whether an entry accepts new connections.
    report_path : str
        GET returns an engine's status report.
    order_path : str
        POST sends an order to an engine.
    """

    headers: HeaderNames
    operator_paths: OperatorPaths
    ready_path: bytes
    report_path: str
    order_path: str

    def decode_routes(self, data):
        """Decode a route manifest that an operator submitted.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        RouteManifest

        Raises
        ------
        InvalidInputError
            With all invalid fields found.
        """

    def directory_path(self, page):
        """Return the path of a page of the directory.

        Parameters
        ----------
        page : str
            Token of the page; empty for the first page.

        Returns
        -------
        str
        """

    def decode_directory(self, data):
        """Decode a page of the directory; invalid entries are skipped.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        DirectoryPage

        Raises
        ------
        ValueError
            If the page as a whole is invalid.
        """

    def decode_report(self, data):
        """Decode an engine's status report.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        EngineReport

        Raises
        ------
        ValueError
            If the report is invalid.
        """

    def encode_order(self, order):
        """Return the request body of an order.

        Parameters
        ----------
        order : EngineOrder

        Returns
        -------
        bytes
        """

    def decode_order_response(self, status):
        """Return an engine's response to an order by its HTTP status code.

        Parameters
        ----------
        status : int

        Returns
        -------
        EngineOrderResponse
        """
