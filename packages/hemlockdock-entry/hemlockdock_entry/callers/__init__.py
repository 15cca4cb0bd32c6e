"""Serve the HTTP API for callers."""

from hemlockdock_entry.callers.caller_api import CallerApi
from hemlockdock_entry.callers.caller_site import CallerSite
from hemlockdock_entry.callers.http_reply import HttpReply

__all__ = ["CallerApi", "CallerSite", "HttpReply"]
