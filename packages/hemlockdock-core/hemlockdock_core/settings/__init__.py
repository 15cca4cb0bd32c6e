"""Reading and validation of a process's settings."""

from hemlockdock_core.settings.load import load_settings, parse_settings
from hemlockdock_core.settings.member_address import MemberAddress
from hemlockdock_core.settings.settings import Settings
from hemlockdock_core.settings.table import settings_table

__all__ = ["MemberAddress", "Settings", "load_settings", "parse_settings", "settings_table"]
