"""Where everything of a local fleet runs: hosts, services, addresses."""

import os
import tomllib
from contextlib import ExitStack
from importlib.resources import files
from socket import socket
from typing import Final

import msgspec

from hillfield.model import Address, Locality

KEY: Final = 'key-of-a-local-trial-only'
CLUSTER: Final = 'demo'
BYTE: Final = 256
# Hosts get 127.<process>.<process>.<number>, so that two trials on one
# machine don't meet.
FIRST_HOST: Final = 11
# For callers, control and links.
ADDRESSES_OF_NODE: Final = 3


class HostPlan(msgspec.Struct, frozen=True):
    """Name a host, where it is and where its node listens."""

    name: str
    locality: Locality
    callers: Address
    control: Address
    links: Address


class ServicePlan(msgspec.Struct, frozen=True):
    """Say how a service is deployed; `median` is seconds a request takes."""

    service: str
    per_host: int
    slots: int
    connection_limit: int
    median: float


class Layout(msgspec.Struct, frozen=True):
    """Hold a whole local fleet."""

    hosts: tuple[HostPlan, ...]
    services: tuple[ServicePlan, ...]
    store: Address


def read_services() -> tuple[ServicePlan, ...]:
    """Return both users' services at a size that one machine bears."""
    text = files('hillfield.demo').joinpath('services.toml').read_text('utf-8')
    plans = tomllib.loads(text)['service']
    return msgspec.convert(plans, tuple[ServicePlan, ...])


def make_layout(
    hosts: int,
    services: tuple[ServicePlan, ...],
    domains: int = 1,
) -> Layout:
    """Choose free addresses; hosts are dealt out over failure domains."""
    return Layout(
        tuple(_plan_host(number, domains) for number in range(1, hosts + 1)),
        services,
        find_free(make_ip(0)),
    )


def make_ip(number: int) -> str:
    """Return a loopback address of this process for a host."""
    high, low = divmod(os.getpid() % (BYTE * BYTE), BYTE)
    last = FIRST_HOST + number
    return f'127.{high}.{low}.{last}'


def find_free(ip: str) -> Address:
    """Return a port that was free a moment ago."""
    return find_several_free(ip, 1)[0]


def find_several_free(ip: str, count: int) -> tuple[Address, ...]:
    """Return ports that were free a moment ago, each another one.

    They are held until all are found: a port that is given back may be the
    next one to be found.
    """
    with ExitStack() as held:
        probes = [held.enter_context(socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        ports = [bound.getsockname()[1] for bound in probes]
        return tuple(Address(ip, port) for port in ports)


def render_settings(layout: Layout, host: HostPlan) -> str:
    """Return a node's settings in TOML."""
    others = [other.links for other in layout.hosts if other != host]
    seeds = ', '.join(f"'{address}'" for address in others)
    return '\n'.join(
        (
            f"name = '{host.name}'",
            f"cluster = '{CLUSTER}'",
            f"cluster_key = '{KEY}'",
            f"stores = ['{layout.store}']",
            f'seeds = [{seeds}]',
            *_render_locality(host.locality),
            '[listen]',
            f"callers = '{host.callers}'",
            f"control = '{host.control}'",
            f"links = '{host.links}'",
            '',
        )
    )


def _render_locality(locality: Locality) -> tuple[str, ...]:
    return (
        '[locality]',
        f"region = '{locality.region}'",
        f"failure_domain = '{locality.failure_domain}'",
        f"host = '{locality.host}'",
    )


def _plan_host(number: int, domains: int) -> HostPlan:
    ip = make_ip(number)
    domain = (number - 1) % domains + 1
    return HostPlan(
        f'node-{number}',
        Locality('home', f'domain-{domain}', f'host-{number}'),
        *find_several_free(ip, ADDRESSES_OF_NODE),
    )
