"""Choice of the targets to probe."""

from hillfield.detection.evidence import Symptom
from hillfield.detection.explanations import TargetExplanation
from hillfield.model import Address, TargetId
from hillfield.node.probing import ProbeOrder


def make_health(port, state):
    """Return the explanation of a target in a state."""
    target = TargetId('claims', Address('127.0.0.1', port), 1)
    return TargetExplanation(target, state, 0, '', Symptom.NONE, 1, False)


def test_healthy_targets_are_not_probed():
    """Real requests give enough evidence about a healthy target."""
    assert ProbeOrder().choose(0, (make_health(1, 'healthy'),)) is None


def test_the_longest_unprobed_goes_first():
    """Targets that are not healthy are probed in rotation."""
    order = ProbeOrder()
    known = (make_health(1, 'ejected'), make_health(2, 'suspected'))
    turns = [order.choose(now, known) for now in range(4)]
    first, second = (health.target for health in known)
    assert turns == [first, second, first, second]
