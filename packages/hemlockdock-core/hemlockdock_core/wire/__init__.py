"""Interface of platform adapters, which translate names and formats but make no decisions."""

from hemlockdock_core.wire.directory import (
    DirectoryPage,
    ListedEndpoint,
    split_page,
    usable_endpoints,
)
from hemlockdock_core.wire.engine import (
    AdapterName,
    EngineOrder,
    EngineOrderResponse,
    EngineReport,
    EngineRun,
    LoadedModel,
    OrderAction,
)
from hemlockdock_core.wire.headers import HeaderNames
from hemlockdock_core.wire.load import find_wire, load_wire
from hemlockdock_core.wire.wire import OperatorPaths, Wire

__all__ = [
    "AdapterName",
    "DirectoryPage",
    "EngineOrder",
    "EngineOrderResponse",
    "EngineReport",
    "EngineRun",
    "HeaderNames",
    "ListedEndpoint",
    "LoadedModel",
    "OperatorPaths",
    "OrderAction",
    "Wire",
    "find_wire",
    "load_wire",
    "split_page",
    "usable_endpoints",
]
