"""Serve the operators' API over HTTP."""

from hemlockdock_control.admin.api import AdminApi
from hemlockdock_control.admin.listener import AdminListener
from hemlockdock_control.admin.pages import AdminPages

__all__ = ["AdminApi", "AdminListener", "AdminPages"]
