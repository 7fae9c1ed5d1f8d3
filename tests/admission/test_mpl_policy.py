"""The LIGHT-APPROX table, against values worked out by hand and against the paper's shape."""

from ochrehoist.admission.mpl_policy import light_approx_table
from ochrehoist.admission.service_rate import ServiceRateCurve


def flat(rate, n):
    return [0.0] + [rate] * (n + 1)


def peaked(peak, n):
    return [0.0] + [min(k, peak) / peak - 0.04 * max(0, k - peak) for k in range(1, n + 2)]


def test_idle_server_always_starts_the_head():
    # One waits, none run (K=1): there is no other choice than to start it.
    assert light_approx_table([0.0, 1.0, 1.0], 1, 1, 0.25)[1][1] == 0


def test_one_waiting_by_hand():
    # mu = 1, 1.5, p = 0.25, Q = 1. K=1: cost 1*0.75 + c(0,1) = 0.75.
    # K=2: start none: 2/mu(1) + c(1,1) = 2.75; start one: 2/1.5*0.75 + c(0,2) = 1 + 1 = 2: start.
    assert light_approx_table([0.0, 1.0, 1.5, 1.5], 1, 2, 0.25)[1][2] == 0
    # mu = 1, 0.4: start one: 2/0.4*0.75 + 1 = 4.75, start none 2.75: wait.
    assert light_approx_table([0.0, 1.0, 0.4, 0.4], 1, 2, 0.25)[1][2] == -1


def test_two_waiting_by_hand():
    # mu = 1, 2, p = 0.25, Q = 2, K = 1: one: 2/1*0.75 + c(1,1) = 2.25;
    # two: 0.5625*2/2 + (1-0.0625)*c(0,2) + 0.0625*c(0,1) = 0.5625 + 0.9375 = 1.5. Two is cheaper.
    assert light_approx_table([0.0, 1.0, 2.0, 2.0], 2, 2, 0.25)[2][1] == 1


def highest(policy, q):
    return max(k for k in range(1, len(policy[q]) - 1) if policy[q][k] >= 0)


def test_long_queues_pin_the_limit_at_the_peak_and_short_ones_climb_past():
    policy = light_approx_table(peaked(5, 15), 60, 15, 0.25)
    assert highest(policy, 60) == 5
    assert highest(policy, 1) > 5


def test_larger_share_of_small_requests_climbs_further():
    at = [highest(light_approx_table(peaked(5, 15), 60, 15, p), 8) for p in (0.05, 0.25, 0.5)]
    assert at == sorted(at) and at[0] < at[-1]


def test_a_flat_curve_is_bounded_by_the_last_column():
    assert highest(light_approx_table(flat(1.0, 4), 8, 4, 0.25), 8) <= 4


def test_the_seed_curve_peaks_at_the_cores_and_falls_to_next_to_nothing_at_the_maximum():
    curve = ServiceRateCurve(6, 36, 10.0)
    rates = [curve.rate_per_s(n) for n in range(1, 37)]
    assert rates.index(max(rates)) == 5 and rates == sorted(rates[:6]) + sorted(rates[6:], reverse=True)
    assert 0 < rates[-1] < rates[5] / 10


def test_what_is_measured_at_one_point_moves_the_curve_there_and_fades():
    curve = ServiceRateCurve(6, 36, 10.0)
    seeded = curve.rate_per_s(8)
    curve.observed_s[8], curve.completions[8] = 10.0, 10 * seeded / 2
    assert curve.rate_per_s(8) < 0.8 * seeded
    for _ in range(100):
        curve.decay(3.0)
    assert abs(curve.rate_per_s(8) / curve.rate_per_s(6) - curve.seed_share(8) / curve.seed_share(6)) < 0.01
