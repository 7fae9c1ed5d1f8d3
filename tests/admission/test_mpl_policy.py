"""The LIGHT-APPROX table, compared with hand-computed values and with the shape given in the paper."""

from ochrehoist.admission.mpl_policy import light_approx_table
from ochrehoist.admission.service_rate import ServiceRateCurve


def flat_rates(rate, max_running):
    return [0.0] + [rate] * (max_running + 1)


def peaked_rates(peak, max_running):
    return [0.0] + [
        min(running, peak) / peak - 0.04 * max(0, running - peak) for running in range(1, max_running + 2)
    ]


def test_an_idle_server_always_starts_the_first_request():
    # One request waits and none run (K=1): starting it is the only choice.
    assert light_approx_table([0.0, 1.0, 1.0], 1, 1, 0.25)[1][1] == 0


def test_the_table_for_one_waiting_request_equals_the_hand_computed_one():
    # mu = 1, 1.5, p = 0.25, Q = 1. K=1: cost 1*0.75 + c(0,1) = 0.75.
    # K=2: starting none costs 2/mu(1) + c(1,1) = 2.75; starting one 2/1.5*0.75 + c(0,2) = 1 + 1 = 2. One is
    # cheaper.
    assert light_approx_table([0.0, 1.0, 1.5, 1.5], 1, 2, 0.25)[1][2] == 0
    # mu = 1, 0.4: starting one costs 2/0.4*0.75 + 1 = 4.75, starting none 2.75. None is cheaper.
    assert light_approx_table([0.0, 1.0, 0.4, 0.4], 1, 2, 0.25)[1][2] == -1


def test_the_table_for_two_waiting_requests_equals_the_hand_computed_one():
    # mu = 1, 2, p = 0.25, Q = 2, K = 1: starting one costs 2/1*0.75 + c(1,1) = 2.25, starting two
    # 0.5625*2/2 + (1-0.0625)*c(0,2) + 0.0625*c(0,1) = 0.5625 + 0.9375 = 1.5. Two is cheaper.
    assert light_approx_table([0.0, 1.0, 2.0, 2.0], 2, 2, 0.25)[2][1] == 1


def max_running_with_start(table, queued):
    return max(running for running in range(1, len(table[queued]) - 1) if table[queued][running] >= 0)


def test_the_limit_is_the_peak_of_the_curve_for_long_queues_and_higher_for_short_ones():
    table = light_approx_table(peaked_rates(5, 15), 60, 15, 0.25)
    assert max_running_with_start(table, 60) == 5
    assert max_running_with_start(table, 1) > 5


def test_the_limit_rises_with_the_share_of_zero_size_requests():
    limits = [
        max_running_with_start(light_approx_table(peaked_rates(5, 15), 60, 15, share), 8)
        for share in (0.05, 0.25, 0.5)
    ]
    assert limits == sorted(limits) and limits[0] < limits[-1]


def test_a_flat_curve_is_bounded_by_the_last_column():
    assert max_running_with_start(light_approx_table(flat_rates(1.0, 4), 8, 4, 0.25), 8) <= 4


def test_the_seed_curve_peaks_at_the_number_of_cores_and_falls_to_almost_zero_at_the_maximum():
    curve = ServiceRateCurve(6, 36, 10.0)
    rates = [curve.rate_per_s(n) for n in range(1, 37)]
    assert rates.index(max(rates)) == 5 and rates == sorted(rates[:6]) + sorted(rates[6:], reverse=True)
    assert 0 < rates[-1] < rates[5] / 10


def test_an_observation_at_one_concurrency_changes_the_rate_there_and_decays():
    curve = ServiceRateCurve(6, 36, 10.0)
    seed_rate = curve.rate_per_s(8)
    curve.observed_s[8], curve.completions[8] = 10.0, 10 * seed_rate / 2
    assert curve.rate_per_s(8) < 0.8 * seed_rate
    for _ in range(100):
        curve.decay(3.0)
    assert abs(curve.rate_per_s(8) / curve.rate_per_s(6) - curve.seed_share(8) / curve.seed_share(6)) < 0.01
