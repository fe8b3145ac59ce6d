"""The sample that costs are measured with is a whole configuration."""

from hillfield.configuration.serving.replica import Replica
from hillfield.configuration.serving.view import ConfigurationView
from hillfield.configuration.measurement import (
    fill,
    measure_size,
    measure_times,
)
from hillfield.configuration.samples import Sample, SampleSize

SMALL = SampleSize(accounts=200, templates=5, routes=23)


def test_sample_adopts_and_resolves_whole():
    replica = Replica('sample')
    fill(replica, Sample(SMALL))
    view = ConfigurationView(replica)
    assert replica.refusals == 0
    assert len(view.services()) == SMALL.templates
    for number in range(SMALL.accounts):
        assert view.resolve(Sample(SMALL).make_head(number)).is_ok()


def test_what_is_held_grows_with_the_payloads():
    small = measure_size(SMALL)
    large = measure_size(SampleSize(accounts=2000, templates=5, routes=23))
    assert small.stored < small.held < large.held
    assert large.held < 2 * large.stored
    assert measure_times(SMALL).resolve > 0
