"""All scenes, by the fleet that they are played on."""

from typing import Final

from hillfield.experiments.repair.outcomes import Scene
from hillfield.experiments.repair.scenes_nodes import (
    freeze_node,
    freeze_relay,
    lose_domain,
    lose_domain_and_change,
)
from hillfield.experiments.repair.scenes_operators import (
    race_on_one,
    race_on_two,
)
from hillfield.experiments.repair.scenes_outage import (
    freeze_relay_without_store,
    kill_half,
    restart_half,
)
from hillfield.experiments.repair.scenes_regions import (
    part_both_ways,
    part_one_way,
)
from hillfield.experiments.repair.scenes_targets import (
    freeze_target,
    kill_half_targets,
    restart_two,
)

SCENES: Final = (
    Scene('store killed, half the nodes restarted', restart_half),
    Scene('store killed, half the nodes killed', kill_half),
    Scene('node frozen and woken', freeze_node),
    Scene('relay frozen beyond its lease', freeze_relay),
    Scene('failure domain lost', lose_domain),
    Scene('operators race on one account', race_on_one),
    Scene('operators race on two accounts', race_on_two),
    Scene('target frozen', freeze_target),
    Scene('half of the targets killed', kill_half_targets),
    Scene('two targets restarted', restart_two),
    Scene('store killed, relay frozen', freeze_relay_without_store),
    Scene('failure domain lost, change', lose_domain_and_change),
)
PARTED: Final = (
    Scene('regions apart one way', part_one_way),
    Scene('regions apart', part_both_ways),
)
QUICK: Final = (SCENES[0], SCENES[3])
