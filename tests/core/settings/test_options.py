"""Settings are read in the documented order and every mistake is reported."""

from __future__ import annotations

import attrs

from briardeal_core.settings import Settings, address, load_settings, option, positive


@attrs.frozen
class Sample(Settings):
    listen: str = option(address, allowed="IP:PORT", text="Address.")
    lease_s: float = option(positive(float), allowed="seconds above 0", default="3", text="Lease.")


def test_flags_override_variables_and_variables_override_defaults():
    loaded, found = load_settings(
        Sample, {"listen": "127.0.0.1:1"}, {"BRIARDEAL_LISTEN": "x", "BRIARDEAL_LEASE_S": "2.5"}
    )
    assert loaded == Sample(listen="127.0.0.1:1", lease_s=2.5)
    assert found.errors == []


def test_every_mistake_and_unknown_variable_is_reported():
    loaded, found = load_settings(Sample, {}, {"BRIARDEAL_LEASE_S": "nan", "BRIARDEAL_LEAS": "1"})
    assert loaded is None
    assert found.errors == [
        "BRIARDEAL_LISTEN is not set; allowed: IP:PORT.",
        "BRIARDEAL_LEASE_S is 'nan'; allowed: seconds above 0.",
    ]
    assert found.warnings == ["BRIARDEAL_LEAS is not a setting of this program."]
