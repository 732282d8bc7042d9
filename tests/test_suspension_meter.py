"""Suspensions of the machine, as two clocks show them."""

from berylquay.decisions.suspension_meter import MIN_SUSPENSION_S, SuspensionMeter


def test_each_suspension_is_counted_once() -> None:
    meter = SuspensionMeter()
    assert meter.observe(100.0, 10.0) == 0.0
    assert meter.observe(101.0, 11.0) == 0.0
    assert meter.observe(105.0, 12.0) == 3.0
    assert meter.observe(106.0, 13.0) == 0.0


# Guards against times that wander because the clocks are not read at the same moment.
def test_a_delay_between_the_readings_is_no_suspension() -> None:
    meter = SuspensionMeter()
    meter.observe(100.0, 10.0)
    # Held up between the readings.
    assert meter.observe(101.0, 11.5) == 0.0
    assert meter.observe(102.0, 12.0) == 0.0
    assert meter.observe(103.0 + MIN_SUSPENSION_S / 2, 13.0) == 0.0
