"""Parsing and validation of the operators' configuration file."""

from briardeal_core.configuration.document._errors import ConfigurationErrors, DocumentError
from briardeal_core.configuration.document._load import load_configuration

__all__ = ["ConfigurationErrors", "DocumentError", "load_configuration"]
