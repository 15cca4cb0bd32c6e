"""Answer operators over HTTP."""

from hemlockdock_control.admin.listener import AdminListener
from hemlockdock_control.admin.pages import AdminPages

__all__ = ["AdminListener", "AdminPages"]
