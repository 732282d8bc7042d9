"""Settings file of one entry host: parses INI text into validated `HostOptions`."""

from configparser import ConfigParser
from ipaddress import IPv4Address
from typing import Final

from returns.result import Failure, Result, Success

from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.errors import SettingsError
from berylquay.settings.host_options import (
    AuthorityOptions,
    CallerLimits,
    HostOptions,
    LogServiceOptions,
    WeightStoreOptions,
)
from berylquay.settings.ini_reader import IniReader, read_ini_file
from berylquay.settings.peer_section import read_peer_section

MIN_LEASE_S: Final = 2.0
MIN_RENEWALS_PER_LEASE: Final = 2


def read_host_settings(path: str) -> Result[HostOptions, tuple[SettingsError, ...]]:
    """Returns the options in the file, or all errors in it."""
    parser = ConfigParser(interpolation=None)
    error = read_ini_file(path, parser)
    if error is not None:
        return Failure((error,))
    reader = IniReader(path, parser)
    options = _read_options(reader, parser)
    reader.check_for_unknown_keys()
    if reader.errors:
        return Failure(tuple(reader.errors))
    return Success(options)


def _read_options(reader: IniReader, parser: ConfigParser) -> HostOptions:
    return HostOptions(
        host=reader.text("host", "name"),
        region=reader.text("host", "region"),
        data_centre=reader.text("host", "data_centre"),
        callers_address=reader.address("callers", "address"),
        membership_address=reader.address("platform", "membership"),
        health_address=reader.optional_address("health", "address"),
        stop_notice_s=reader.number("host", "stop_notice_s", 2.0),
        initial_deployments=reader.text_list("host", "initial_deployments", ()),
        operators_address=reader.optional_address("operators", "address"),
        weight_store=_read_weight_store_options(reader),
        log_service=_read_log_options(reader),
        caller_limits=_read_caller_limits(reader),
        peers=read_peer_section(reader, parser.has_section("peers")),
        authority=_read_authority_options(reader),
        engine_speed=_read_engine_speed(reader),
        log_level=reader.choice("host", "log_level", ("debug", "info", "warning", "error"), "info"),
    )


def _read_log_options(reader: IniReader) -> LogServiceOptions | None:
    section = "platform"
    address = reader.optional_address(section, "log")
    retention_s = reader.number(section, "log_retention_s", 3600.0)
    appends_per_s = reader.number(section, "log_appends_per_s", 20.0)
    stream = reader.text(section, "configuration_stream", "configuration")
    return (
        None if address is None else LogServiceOptions(address, retention_s, appends_per_s, stream)
    )


def _read_authority_options(reader: IniReader) -> AuthorityOptions | None:
    section = "authority"
    address = reader.optional_address(section, "sender")
    lease_s = reader.number(section, "lease_s", 10.0)
    renewal_interval_s = reader.number(section, "renewal_interval_s", 3.0)
    order_margin_s = reader.number(section, "order_margin_s", 3.0)
    if address is None:
        return None
    options = AuthorityOptions(address, lease_s, renewal_interval_s, order_margin_s)
    _check_authority_options(reader, options)
    return options


def _check_authority_options(reader: IniReader, options: AuthorityOptions) -> None:
    if not IPv4Address(options.sender_address.ip).is_loopback:
        # The expiry time of an order is on the clock that the sender shares with the daemon, so the
        # sender must run on the same host.
        _add_authority_error(reader, "sender", str(options.sender_address), "a loopback address")
    if options.lease_s < MIN_LEASE_S:
        allowed = f"a number of at least {MIN_LEASE_S:g}"
        _add_authority_error(reader, "lease_s", f"{options.lease_s:g}", allowed)
    if not 0.0 < options.renewal_interval_s <= options.lease_s / MIN_RENEWALS_PER_LEASE:
        allowed = f"above 0 and at most lease_s / {MIN_RENEWALS_PER_LEASE}"
        _add_authority_error(
            reader, "renewal_interval_s", f"{options.renewal_interval_s:g}", allowed
        )
    if options.order_margin_s <= 0.0:
        found = f"{options.order_margin_s:g}"
        _add_authority_error(reader, "order_margin_s", found, "a number above 0")


def _add_authority_error(reader: IniReader, key: str, found: str, allowed: str) -> None:
    reader.errors.append(SettingsError(reader.file, "authority", key, found, allowed))


def _read_weight_store_options(reader: IniReader) -> WeightStoreOptions | None:
    section = "platform"
    address = reader.optional_address(section, "weights")
    lookups_per_s = reader.number(section, "weights_lookups_per_s", 2.0)
    return None if address is None else WeightStoreOptions(address, lookups_per_s)


def _read_caller_limits(reader: IniReader) -> CallerLimits:
    defaults = CallerLimits()
    section = "callers"
    return CallerLimits(
        head_bytes=reader.count(section, "head_bytes", defaults.head_bytes),
        body_bytes=reader.count(section, "body_bytes", defaults.body_bytes),
        connections=reader.count(section, "connections", defaults.connections),
        request_timeout_s=reader.number(section, "request_timeout_s", defaults.request_timeout_s),
        idle_timeout_s=reader.number(section, "idle_timeout_s", defaults.idle_timeout_s),
        write_buffer_bytes=reader.count(section, "write_buffer_bytes", defaults.write_buffer_bytes),
    )


def _read_engine_speed(reader: IniReader) -> EngineSpeed:
    defaults = EngineSpeed()
    section = "engines"
    return EngineSpeed(
        prefill_tokens_per_s=reader.number(
            section, "prefill_tokens_per_s", defaults.prefill_tokens_per_s
        ),
        token_base_s=reader.number(section, "token_base_s", defaults.token_base_s),
        token_per_sequence_s=reader.number(
            section, "token_per_sequence_s", defaults.token_per_sequence_s
        ),
        max_batch=reader.count(section, "max_batch", defaults.max_batch),
    )
