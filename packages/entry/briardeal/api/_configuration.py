"""Routes for the operators' configuration."""

from __future__ import annotations

import msgspec
from aiohttp import web

from briardeal.api._replies import reply_json
from briardeal.api._routes import Routes
from briardeal_core.configuration import Configuration
from briardeal_core.configuration.document import ConfigurationErrors, load_configuration
from briardeal_core.configuration.store import Accepted, Conflict
from briardeal_core.reasons import Reason, Refusal, RunState

UNKNOWN_AUTHOR = "an operator without a name"


class ConfigurationBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body that describes the configuration in force.

    Parameters
    ----------
    version
        Version in force; 0 before the first.
    author
        Operator who made the version.
    age_s
        Time since the version was accepted, in seconds.
    unconfirmed_s
        Time since the log last confirmed that the version is the newest, in seconds; `None` if
        it was never confirmed.
    unreadable_version
        Newer version that this entry's software is too old to read, or `None`.
    configuration
        Configuration in force.
    """

    version: int
    author: str
    age_s: float
    unconfirmed_s: float | None
    unreadable_version: int | None
    configuration: Configuration


class AcceptedBody(msgspec.Struct, frozen=True):
    """Body of the response to an accepted change."""

    version: int


class DiffBody(msgspec.Struct, frozen=True):
    """Body that lists the differences between two versions, one sentence each."""

    changes: tuple[str, ...]


class ConfigurationRoutes(Routes):
    """Routes for operators to show and change the configuration."""

    def definitions(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.get("/v1/configuration", self.show),
            web.put("/v1/configuration", self.apply),
            web.put("/v1/configuration/lost", self.replace_lost),
            web.get("/v1/configuration/history", self.history),
            web.get("/v1/configuration/diff", self.diff),
        ]

    async def show(self, http: web.Request) -> web.Response:
        """Return the configuration that is in force in this entry."""
        store = self.entry.configuration
        status = store.status()
        return reply_json(
            ConfigurationBody(
                version=status.version,
                author=status.author,
                age_s=status.age_s,
                unconfirmed_s=status.unconfirmed_s,
                unreadable_version=status.unreadable_version,
                configuration=store.configuration,
            )
        )

    async def apply(self, http: web.Request) -> web.Response:
        """Replace the configuration if the expected version is still in force."""
        expected_version = _parse_version(http, "expected_version")
        if expected_version is None:
            return self.refuse(
                _invalid_request("expected_version must be an integer of 0 or more.")
            )
        loaded = await self._load_configuration(http)
        if isinstance(loaded, Refusal):
            return self.refuse(loaded)
        store = self.entry.configuration
        return self._reply_outcome(await store.apply(loaded, expected_version, _read_author(http)))

    async def replace_lost(self, http: web.Request) -> web.Response:
        """Set a new configuration after the log lost records that the last one depends on."""
        loaded = await self._load_configuration(http)
        if isinstance(loaded, Refusal):
            return self.refuse(loaded)
        store = self.entry.configuration
        return self._reply_outcome(await store.replace_lost(loaded, _read_author(http)))

    async def history(self, http: web.Request) -> web.Response:
        """Return the last changes, accepted and rejected, oldest first."""
        return reply_json(self.entry.configuration.history.list_changes())

    async def diff(self, http: web.Request) -> web.Response:
        """Return the differences between two versions."""
        old, new = _parse_version(http, "old"), _parse_version(http, "new")
        if old is None or new is None:
            return self.refuse(
                _invalid_request("old and new must be version numbers, integers of 0 or more.")
            )
        changes = await self.entry.configuration.history.diff(old, new)
        if isinstance(changes, Refusal):
            return self.refuse(changes)
        return reply_json(DiffBody(changes))

    async def _load_configuration(self, http: web.Request) -> Configuration | Refusal:
        loaded = load_configuration(await http.text(), self.entry.known_workers())
        if isinstance(loaded, ConfigurationErrors):
            return Refusal(Reason.CONFIGURATION_INVALID, RunState.NOT_RUN, detail=str(loaded))
        return loaded

    def _reply_outcome(self, outcome: Accepted | Conflict | Refusal) -> web.Response:
        if isinstance(outcome, Accepted):
            return reply_json(AcceptedBody(outcome.version))
        if isinstance(outcome, Conflict):
            outcome = Refusal(
                Reason.CONFIGURATION_CONFLICT, RunState.NOT_RUN, detail=outcome.message
            )
        return self.refuse(outcome)


def _read_author(http: web.Request) -> str:
    return http.headers.get("Briardeal-Author", UNKNOWN_AUTHOR)


def _parse_version(http: web.Request, name: str) -> int | None:
    text = http.query.get(name, "")
    return int(text) if text.isdigit() else None


def _invalid_request(detail: str) -> Refusal:
    return Refusal(Reason.REQUEST_INVALID, RunState.NOT_RUN, detail=detail)
