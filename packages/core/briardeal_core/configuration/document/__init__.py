"""The operators' file: reading it, and checking it in whole."""

from briardeal_core.configuration.document._load import load_configuration
from briardeal_core.configuration.document._mistakes import ConfigurationErrors, DocumentError

__all__ = ["ConfigurationErrors", "DocumentError", "load_configuration"]
