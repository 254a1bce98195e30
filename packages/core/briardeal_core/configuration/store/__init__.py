"""Store of the configuration: published to the log, exchanged with peers, never reverted."""

from briardeal_core.configuration.store._diff import describe_changes
from briardeal_core.configuration.store._history import ConfigurationHistory
from briardeal_core.configuration.store._outcomes import (
    Accepted,
    ConfigurationStatus,
    Conflict,
)
from briardeal_core.configuration.store._records import (
    CONFIGURATION_SCHEMA,
    ConfigurationPublished,
    HistoryItem,
    VersionedConfiguration,
)
from briardeal_core.configuration.store._store import ConfigurationStore
from briardeal_core.configuration.store._view import ConfigurationView

__all__ = [
    "CONFIGURATION_SCHEMA",
    "Accepted",
    "ConfigurationHistory",
    "ConfigurationPublished",
    "ConfigurationStatus",
    "ConfigurationStore",
    "ConfigurationView",
    "Conflict",
    "HistoryItem",
    "VersionedConfiguration",
    "describe_changes",
]
