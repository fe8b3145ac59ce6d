"""What nodes show of their decisions, asked over their control address."""

from asyncio import gather

from hillfield.control.pages import ServicePage, TargetReport
from hillfield.emulator import EmulatedTarget
from scenarios.fleet import SERVICE, Fleet


async def is_out_everywhere(fleet: Fleet, target: EmulatedTarget) -> bool:
    """Tell whether no running node gives the target work."""
    pages = await explain_everywhere(fleet)
    reports = [pick_report(page, target) for page in pages]
    return not any(report and report.in_rotation for report in reports)


async def is_in_everywhere(fleet: Fleet, target: EmulatedTarget) -> bool:
    """Tell whether every running node gives the target work."""
    pages = await explain_everywhere(fleet)
    reports = [pick_report(page, target) for page in pages]
    return all(report and report.in_rotation for report in reports)


async def is_out_at(fleet: Fleet, target: EmulatedTarget, node: int) -> bool:
    """Tell whether one node gives the target no work."""
    report = await find_report(fleet, target, node)
    return report is not None and not report.in_rotation


async def has_in_force(fleet: Fleet, revision: int) -> bool:
    """Tell whether every running node has at least this revision."""
    pages = await gather(
        *(
            fleet.client.read_configuration(host.control)
            for host in fleet.running()
        ),
    )
    return all(page and page.revision >= revision for page in pages)


async def explain_everywhere(fleet: Fleet) -> list[ServicePage]:
    """Return each running node's explanation; all must answer."""
    pages = await gather(
        *(
            fleet.client.explain(host.control, SERVICE)
            for host in fleet.running()
        ),
    )
    assert pages
    assert all(pages)
    return pages


async def find_report(
    fleet: Fleet,
    target: EmulatedTarget,
    node: int,
) -> TargetReport | None:
    """Return what one node says of the target."""
    host = fleet.layout.hosts[node - 1]
    page = await fleet.client.explain(host.control, SERVICE)
    return pick_report(page, target)


def pick_report(
    page: ServicePage | None,
    target: EmulatedTarget,
) -> TargetReport | None:
    """Return the target's report of a page, if it stands there."""
    name = f'@{target.address}#{target.incarnation}'
    reports = page.targets if page else ()
    found = [report for report in reports if report.target.endswith(name)]
    return found[0] if found else None


async def tell_story(fleet: Fleet, target: EmulatedTarget) -> str:
    """Return what the nodes say of a target and recorded of it."""
    pages = await explain_everywhere(fleet)
    nodes = [host.control for host in fleet.running()]
    address = str(target.address)
    entries = await fleet.client.read_timeline(nodes, address)
    reports = (f'{page.node}: {pick_report(page, target)}' for page in pages)
    events = (
        f'{entry.time} {entry.node} {entry.event} {entry.detail}'
        for entry in entries
    )
    return '\n'.join((address, *reports, *events))
