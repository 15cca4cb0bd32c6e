"""Platform adapter for hemlockdock's native formats, which its simulated platform uses."""

import msgspec

from hemlockdock_core.errors import FieldError, InvalidInputError
from hemlockdock_core.foreign import UndecodableError, decode_foreign
from hemlockdock_core.routes import RouteManifest
from hemlockdock_core.rows import EndpointRow
from hemlockdock_core.wire.directory import (
    DirectoryPage,
    ListedEndpoint,
    split_page,
    usable_endpoints,
)
from hemlockdock_core.wire.engine import EngineOrder, EngineOrderResponse, EngineReport, LoadedModel
from hemlockdock_core.wire.headers import HeaderNames
from hemlockdock_core.wire.wire import OperatorPaths

SOURCE = "routes"

HEADERS = HeaderNames(
    request_id=b"x-request-id",
    time_left_ms=b"x-time-left-ms",
    model=b"x-use-model",
    token_counts=b"x-tokens",
    prompt_parts=b"x-prompt-parts",
    last_event_id=b"last-event-id",
    resumed_request=b"x-resumed-request",
    expected_endpoint=b"x-expected-endpoint",
    endpoint_id=b"x-endpoint",
    signature=b"x-answer-signature",
    not_run=b"x-not-run",
    leaving=b"x-endpoint-leaving",
    request_limit=b"x-endpoint-limit",
    priority=b"x-engine-priority",
    customer_key=b"x-customer-key",
    customer=b"x-customer",
    reserved=frozenset((b"x-expected-endpoint", b"x-engine-priority")),
)

ANSWER_BY_STATUS = {
    202: EngineOrderResponse.ACCEPTED,
    200: EngineOrderResponse.HOLDS_ALREADY,
    409: EngineOrderResponse.BUSY,
    412: EngineOrderResponse.FENCED,
    400: EngineOrderResponse.IMPOSSIBLE,
    421: EngineOrderResponse.OTHER_ENGINE,
}


class Page(msgspec.Struct):
    """The only page of the directory; its rows are decoded separately, as some may be invalid."""

    rows: list[msgspec.Raw]


class NativeWire:
    """Platform adapter for hemlockdock's native formats; see ``Wire``."""

    headers = HEADERS
    operator_paths = OperatorPaths(submit=b"/v1/routes", read=b"/v1/routes")
    ready_path = b"/readyz"
    report_path = "/engine"
    order_path = "/engine/orders"

    def __init__(self):
        self._routes_decoder = msgspec.json.Decoder(RouteManifest)
        self._report_decoder = msgspec.json.Decoder(EngineReport)
        self._page_decoder = msgspec.json.Decoder(Page)
        self._row_decoder = msgspec.json.Decoder(EndpointRow)

    def decode_routes(self, data):
        """Decode a route manifest that an operator submitted; see ``Wire``."""
        try:
            return decode_foreign(self._routes_decoder, data)
        except UndecodableError as error:
            raise InvalidInputError([FieldError(SOURCE, "(text)", str(error))]) from None

    def encode_routes(self, manifest):
        """Return a route manifest encoded as JSON.

        Parameters
        ----------
        manifest : RouteManifest

        Returns
        -------
        bytes
        """
        return msgspec.json.encode(manifest)

    def directory_path(self, page):
        """Return the path of the directory, which has only one page; see ``Wire``."""
        return "/endpoints"

    def decode_directory(self, data):
        """Decode the only page of the directory; see ``Wire``."""
        page, split = split_page(self._decode_page, b'{"rows":%b}' % data, b"rows")
        endpoints, unreadable = usable_endpoints(split or page.rows, self._decode_row)
        return DirectoryPage(endpoints, unreadable, "")

    def _decode_page(self, data):
        return decode_foreign(self._page_decoder, data)

    def _decode_row(self, data):
        row = decode_foreign(self._row_decoder, data)
        models = tuple(LoadedModel(m.name, m.version, frozenset()) for m in row.models)
        return ListedEndpoint(
            row.endpoint_id,
            row.pool,
            row.address,
            row.failure_domain,
            row.slots,
            row.leaving,
            models,
            row.software_version,
        )

    def decode_report(self, data):
        """Decode an engine's status report; see ``Wire``."""
        return decode_foreign(self._report_decoder, data)

    def encode_order(self, order: EngineOrder):
        """Return an order encoded as JSON; see ``Wire``."""
        return msgspec.json.encode(order)

    def decode_order_response(self, status):
        """Return an engine's response to an order by its status code; see ``Wire``."""
        return ANSWER_BY_STATUS.get(status, EngineOrderResponse.UNKNOWN)


WIRE = NativeWire()
