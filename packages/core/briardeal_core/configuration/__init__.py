"""The operators' configuration: job classes, customers and their guarantees."""

from briardeal_core.configuration._model import (
    Adjacency,
    Configuration,
    Customer,
    Guarantee,
    JobClass,
)

__all__ = ["Adjacency", "Configuration", "Customer", "Guarantee", "JobClass"]
