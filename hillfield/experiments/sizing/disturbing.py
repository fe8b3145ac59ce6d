"""Faults that an experiment brings about in its rig."""

from typing import Final

import msgspec

from hillfield.demo.layout import HostPlan
from hillfield.emulator.store_faults import Outage, StoreFaults
from hillfield.experiments.sizing.rigs import Rig

PUT: Final = 'PUT'


def kill_node(rig: Rig, host: HostPlan) -> None:
    """End a node by SIGKILL, as the loss of its host does."""
    rig.processes.kill(host.name)
    rig.pids.pop(host.name)


def lose_domain(rig: Rig) -> int:
    """Kill all nodes of the last host's failure domain; return how many."""
    last = rig.layout.hosts[-1]
    lost = last.locality.failure_domain
    hosts = [
        host for host in rig.running() if host.locality.failure_domain == lost
    ]
    for host in hosts:
        kill_node(rig, host)
    return len(hosts)


async def set_outage(rig: Rig, outage: Outage) -> None:
    """Take the store down or up."""
    body = msgspec.json.encode(StoreFaults(outage))
    url = f'http://{rig.store_control}/faults'
    await rig.http.fetch(url, method=PUT, body=body)
