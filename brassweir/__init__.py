"""Decides when and where a sender delivers messages to many outside destinations."""

from brassweir.control import Sender
from brassweir.interface import MisuseError, Settings, SettingsError

__all__ = ["MisuseError", "Sender", "Settings", "SettingsError"]
__version__ = "0.1.0"
