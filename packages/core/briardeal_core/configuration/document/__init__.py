"""The operators' file: reading it, and checking it in whole."""

from briardeal_core.configuration.document._load import load_configuration
from briardeal_core.configuration.document._mistakes import ConfigurationErrors, Mistake

__all__ = ["ConfigurationErrors", "Mistake", "load_configuration"]
