"""Client of the HTTP API for operators."""

from briardeal.operators._client import OperatorClient, Refused
from briardeal.operators._settings import OperatorSettings

__all__ = ["OperatorClient", "OperatorSettings", "Refused"]
