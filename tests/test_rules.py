"""The guards of the four rules, without the bench."""

import pytest
from helpers import CLASSES, MS, Driver, S

from ochrehoist import interface as i
from ochrehoist.rules import AdmissionController

READ, WRITE, PAY, RICH = range(4)


# ---- no request lost


def test_held_and_running_are_answered_by_the_due_time_while_runs_hang():
    d = Driver()
    ids = [d.request(kind=k % 3)[0] for k in range(12)]
    d.run_for(3 * S + 100 * MS)
    for job_id in ids:
        answers = d.at(i.Fail, job_id) + d.at(i.Refuse, job_id)
        assert len(answers) == 1
        assert answers[0] <= 1000 * S + 3 * S + 100 * MS


def test_without_a_passed_deadline_it_falls_due_by_its_class_from_its_arrival():
    d = Driver(passes_deadline=False)
    job_id, actions = d.request(remaining=None, unread_for=1 * S)
    assert i.Start(job_id) in actions
    d.run_for(5 * S)
    assert d.at(i.Fail, job_id)[0] <= 1000 * S + 4 * S + 100 * MS


def test_work_still_running_is_stopped_where_the_site_allows_it():
    d = Driver(preemption=i.Preemption.DROP)
    job_id, _ = d.request()
    d.run_for(3 * S)
    assert d.ids(i.Fail) == [job_id] and d.ids(i.Stop) == [job_id]


def test_what_has_ended_is_not_answered_again():
    d = Driver()
    job_id, _ = d.request()
    d.done(job_id)
    d.done(job_id)
    d.send(i.CallerGone(job_id))
    d.send(i.CallNeeded(job_id))
    d.send(i.CallEnded(job_id, i.Outcome.OK, 1))
    d.run_for(4 * S)
    assert not d.ids(i.Fail) and not d.ids(i.Refuse)


def test_caller_gone_frees_the_hold_and_nothing_is_owed():
    d = Driver()
    ids = [d.request()[0] for _ in range(12)]
    held = [x for x in ids if x not in d.ids(i.Start) + d.ids(i.Refuse)]
    assert held
    d.send(i.CallerGone(held[0]))
    d.run_for(4 * S)
    assert held[0] not in d.ids(i.Fail) + d.ids(i.Refuse) + d.ids(i.Start)


# ---- no effect twice


def test_a_keyed_request_is_kept_no_later_than_its_start_for_what_is_left_of_its_window():
    d = Driver()
    job_id, actions = d.request(kind=WRITE, unread_for=400 * MS)
    keep = next(a for a in actions if isinstance(a, i.Keep))
    assert actions.index(keep) < actions.index(i.Start(job_id))
    assert 9600 * MS <= keep.hold_for <= 9700 * MS


def test_a_repeat_joins_the_first_held_running_done_or_failed():
    for ending in (None, i.Outcome.OK, i.Outcome.FAILED):
        d = Driver()
        first, _ = d.request(kind=WRITE)
        if ending:
            d.done(first, ending)
        again, actions = d.request(kind=WRITE, original=first, retry=True)
        assert i.Join(again) in actions
        d.run_for(4 * S)
        assert again not in d.ids(i.Start) + d.ids(i.Refuse)


def held_write(**changes):
    d = Driver(**changes)
    for _ in range(9):
        d.request(kind=WRITE)
    return d, next(x for x in d.controller.queue)


def test_a_repeat_of_a_held_request_waits_and_joins_it_when_it_starts():
    d, held = held_write()
    again, actions = d.request(kind=WRITE, original=held, retry=True)
    assert not actions
    for job_id in d.ids(i.Start):
        d.done(job_id)
    assert held in d.ids(i.Start) and again in d.ids(i.Join) and again not in d.ids(i.Start)


def test_a_repeat_of_a_held_request_outlives_it_when_the_first_caller_left():
    # Joined to what was still held, it failed with it, though its own caller went on waiting.
    d, held = held_write()
    again, _ = d.request(kind=WRITE, original=held, retry=True)
    third, _ = d.request(kind=WRITE, original=held, retry=True)
    d.send(i.CallerGone(held))
    for job_id in d.ids(i.Start):
        d.done(job_id)
    assert again in d.ids(i.Start) and third in d.ids(i.Join) and held not in d.ids(i.Start)
    kept = [a.id for a in d.said(i.Keep)]
    assert kept.index(again) > kept.index(held) and held in d.ids(i.Forget)
    d.run_for(4 * S)
    assert not d.controller.queue


def test_repeats_that_wait_for_a_held_one_are_answered_at_once_when_it_is_given_up():
    d, held = held_write()
    again, _ = d.request(kind=WRITE, original=held, retry=True)
    d.run_for(2 * S)
    told = d.at(i.Refuse, held) + d.at(i.Refuse, again)  # the aim of both is the first try's
    assert len(told) == 2 and told[1] - told[0] <= 25 * MS


def test_a_repeat_near_the_end_of_the_window_and_read_after_it_is_not_run():
    d = Driver()
    first, _ = d.request(kind=WRITE)
    d.done(first)
    d.run_for(10 * S + 500 * MS)
    again, _ = d.request(kind=WRITE, original=first, retry=True, unread_for=700 * MS)
    assert again in d.ids(i.Join) and again not in d.ids(i.Start)


def test_two_tries_in_one_batch_that_name_each_other_run_once():
    d = Driver()
    d.request(kind=WRITE, id="a", original="b")
    d.request(kind=WRITE, id="b", original="a", retry=True)
    assert d.ids(i.Start) == ["a"] and d.ids(i.Join) == ["b"]


def test_a_repeat_of_one_turned_away_unrun_may_run():
    d = Driver()
    first, actions = d.request(kind=WRITE, unread_for=1990 * MS, remaining=5 * MS)
    if first in d.ids(i.Start):
        pytest.fail("it could not meet its aim and was started")
    again, _ = d.request(kind=WRITE, original=first, retry=True)
    assert again in d.ids(i.Start)


def test_with_no_room_to_keep_it_a_keyed_request_is_not_run():
    d = Driver(memory_kb=1000.0, key_kb=990.0)
    job_id, actions = d.request(kind=WRITE)
    assert job_id in d.ids(i.Refuse) and not d.ids(i.Start) and not d.ids(i.Keep)


def test_a_call_is_repeated_only_after_proof_that_it_never_ran():
    for outcome in i.Outcome:
        if outcome is i.Outcome.OK:
            continue
        classes = CLASSES[:3] + (CLASSES[1],)
        d = Driver(below=i.Below.TIER, classes=classes)
        job_id, _ = d.request(kind=WRITE)
        d.send(i.CallNeeded(job_id))
        assert d.ids(i.Call) == [job_id]
        d.send(i.CallEnded(job_id, outcome, 10 * MS))
        d.run_for(2 * S)
        assert len(d.ids(i.Call)) == (2 if outcome in i.NEVER_RAN else 1)


# ---- drains are safe


def test_nothing_that_arrives_after_the_grace_is_run_and_all_is_answered_before_the_stop():
    d = Driver()
    early = [d.request()[0] for _ in range(8)]
    d.send(i.Leave(4 * S))
    d.run_for(2 * S + 100 * MS)
    late, _ = d.request(remaining=30 * S)
    late_arrival_before_grace, _ = d.request(remaining=30 * S, unread_for=1500 * MS)
    d.run_for(1900 * MS)
    assert late in d.ids(i.Refuse) and late not in d.ids(i.Start)
    for job_id in early + [late_arrival_before_grace]:
        assert len(d.at(i.Fail, job_id) + d.at(i.Refuse, job_id)) == 1
    assert i.Health(False, True) in d.said(i.Health)


def test_what_may_wait_longer_than_the_process_lives_is_answered_before_the_stop():
    d = Driver()
    job_id, _ = d.request(remaining=30 * S)
    d.send(i.Leave(3 * S))
    d.run_for(3 * S)
    assert d.ids(i.Fail) == [job_id]


def test_an_idle_server_runs_what_arrived_within_the_grace_and_nothing_later():
    d = Driver()
    d.send(i.Leave(5 * S))
    d.run_for(2100 * MS)
    in_time, _ = d.request(remaining=30 * S, unread_for=150 * MS)
    late, _ = d.request(remaining=30 * S, unread_for=50 * MS)
    d.run_for(1 * S)
    assert d.ids(i.Start) == [in_time] and d.ids(i.Refuse) == [late]


# ---- nothing falls over


@pytest.mark.parametrize("cold", [False, True])
def test_running_stays_under_the_crowd_a_server_survives(cold):
    d = Driver(just_started=cold, memory_kb=1e9)
    for _ in range(200):
        d.request(remaining=60 * S)
        d.run_for(5 * MS, every=5 * MS, gauges={"cpu_busy": 0.1})
    running = len(d.ids(i.Start))
    assert running <= 4 * (1 + 4 * (0.25 + 0.75 * 0.1 if cold else 1))


@pytest.mark.parametrize("cold", [False, True])
def test_idle_cores_raise_the_limit_to_the_ceiling_and_no_further(cold):
    d = Driver(just_started=cold, memory_kb=1e9, tip_multiple=3.0, cold=1000 * S, classes=(CLASSES[0],) * 4)
    most = 0
    for _ in range(40):  # runs that wait for disk: cores idle, work waits, each finish raises the floor
        for _ in range(8):
            d.request(remaining=60 * S)
        d.run_for(25 * MS, gauges={"cpu_busy": 0.1})
        running = [x for x in d.ids(i.Start) if x in d.controller.jobs]
        most = max(most, len(running))
        d.done(running[0])
    assert (4 if cold else 5) <= most <= 4 * (1 + 2 * (0.26 if cold else 1))


def test_memory_is_never_overdrawn():
    d = Driver(memory_kb=700.0, key_kb=40.0)
    for n in range(30):
        d.request(kind=n % 3, memory_kb=45.0, remaining=2 * S)
        c = d.controller
        assert c.used + 40.0 * len(c.keys) <= 700.0
    assert d.ids(i.Start)


def shared(fair_calls=3.0, **changes):
    return Driver(below=i.Below.SHARED, fair_calls=fair_calls, calls_over=5 * S, lingers=200 * MS, **changes)


class SlowBelow:
    """What lies below keeps each call as long as it may; checks the mean of what it holds over any period."""

    def __init__(self, d):
        self.d, self.spans, self.seen = d, {}, 0

    def look(self):
        for at, a in self.d.log[self.seen :]:
            if isinstance(a, i.Call):
                self.spans.setdefault(a.id, []).append([at, a.stop_at + self.d.settings.lingers])
        self.seen = len(self.d.log)

    def cut(self, job_id, linger=True):
        self.spans[job_id][-1][1] = self.d.now + (self.d.settings.lingers if linger else 0)

    def worst(self):
        over = self.d.settings.calls_over
        spans = [s for many in self.spans.values() for s in many]
        return max(
            (sum(max(0, min(b, end) - max(a, end - over)) for a, b in spans) / over for _, end in spans),
            default=0.0,
        )


@pytest.mark.parametrize("fair", [0.2, 0.5, 0.9, 3.0])
@pytest.mark.parametrize("ending", [i.Outcome.TIMED_OUT, i.Outcome.FULL, "gone", "answered"])
def test_calls_that_last_as_long_as_they_may_stay_within_the_share_of_any_period(fair, ending):
    # One call was let out until its deadline where the share is under one call, and a call whose caller left
    # or whose answer was given did not count while it lingered: the sum over a fleet could pass the shares.
    d = Driver(
        below=i.Below.SHARED,
        fair_calls=fair,
        calls_over=5 * S,
        lingers=200 * MS,
        cores=2,
        classes=(CLASSES[0], CLASSES[1], CLASSES[0], CLASSES[3]),
        passes_deadline=False,
        step=10 * MS,
    )
    below = SlowBelow(d)
    for n in range(2000):
        if n % 5 == 0:
            d.request(kind=n // 5 % 4, remaining=None)
        for started in [x for x in d.ids(i.Start) if x in d.controller.jobs]:
            if d.controller.jobs[started].state == 1:
                d.send(i.CallNeeded(started))
        below.look()
        for out, spans in list(below.spans.items()):
            below.look()
            if out not in d.controller.jobs or d.controller.jobs[out].state != 3:
                continue
            if ending in ("gone", "answered") and d.now - spans[-1][0] > 30 * MS * (n % 9):
                below.cut(out)
                if ending == "gone":
                    d.send(i.CallerGone(out))
                d.done(out, i.Outcome.CANCELLED)
            elif ending is i.Outcome.FULL and d.now - spans[-1][0] > 40 * MS:
                below.cut(out, linger=False)
                d.send(i.CallEnded(out, ending, 40 * MS))
            elif d.now >= spans[-1][1] - d.settings.lingers:
                below.cut(out)
                d.send(i.CallEnded(out, i.Outcome.TIMED_OUT, d.now - spans[-1][0]))
                d.done(out, i.Outcome.FAILED) if out in d.controller.jobs else None
        d.run_for(10 * MS)
        below.look()
    assert len(below.spans) > 3 and below.worst() <= fair


def test_full_below_is_left_out_where_the_class_earns_without_it_and_waits_where_it_does_not():
    d = shared(fair_calls=0.3, classes=CLASSES[:1] + (CLASSES[3],) * 3)
    rich, read = d.request(kind=RICH)[0], d.request(kind=READ)[0]
    for _ in range(6):
        job_id, _ = d.request(kind=RICH)
        d.send(i.CallNeeded(job_id))
    assert d.ids(i.Call) and d.ids(i.SkipCall)
    d.send(i.CallNeeded(read))
    assert read not in d.ids(i.Call) + d.ids(i.SkipCall)
    for out in d.ids(i.Call):
        d.send(i.CallEnded(out, i.Outcome.OK, 5 * MS))
    assert read in d.ids(i.Call) and rich not in d.ids(i.Call)


def test_calls_without_proof_are_not_repeated_but_left_out_or_failed():
    d = shared()
    job_id, _ = d.request(kind=RICH)
    d.send(i.CallNeeded(job_id))
    d.send(i.CallEnded(job_id, i.Outcome.RESET, 10 * MS))
    assert d.ids(i.SkipCall) == [job_id]


# ---- determinism and stalls


def test_same_events_same_actions():
    def play():
        d = Driver(advice=i.Advice.WINDOW)
        for n in range(40):
            d.request(kind=n % 3, caller=n % 4, retry=n % 3 == 0)
            if n % 4 == 0 and d.ids(i.Start):
                d.done(d.ids(i.Start)[-1])
            d.run_for(50 * MS)
        return d.log

    assert play() == play()


def test_a_stall_turns_arrivals_away_reports_bad_health_and_ends_with_the_first_finish():
    d = Driver()
    ids = [d.request(remaining=20 * S)[0] for _ in range(4)]
    d.run_for(3 * S)
    assert i.Health(False, True) in d.said(i.Health)
    refused, _ = d.request(remaining=20 * S)
    assert refused in d.ids(i.Refuse)
    d.done(ids[0], took=3 * S)
    d.run_for(50 * MS)
    taken, _ = d.request(remaining=20 * S)
    assert taken in d.ids(i.Start)


def test_a_stall_and_quick_failures_do_not_move_the_service_rate_curve():
    d = Driver()
    before = [d.controller.curve.mu(n) for n in range(1, 10)]
    for _ in range(20):
        job_id, _ = d.request()
        d.now += 2 * MS
        d.done(job_id, i.Outcome.FAILED, took=2 * MS)
    after = [d.controller.curve.mu(n) for n in range(1, 10)]
    assert after == pytest.approx(before, rel=0.02)


@pytest.mark.parametrize("advice", list(i.Advice))
def test_each_kind_of_advice_tells_callers_to_send_less_in_overload(advice):
    d = Driver(advice=advice)
    d.run_for(S)
    calm = d.said(i.Advise)[-1].value if d.said(i.Advise) else None
    for _ in range(60):
        for _ in range(4):
            d.request(unread_for=900 * MS)
        d.run_for(50 * MS)
    if advice is i.Advice.NONE:
        return None if not d.said(i.Advise) else pytest.fail("advice where it is off")
    busy = d.said(i.Advise)[-1].value
    assert busy > (calm or 0) if advice is i.Advice.LEVEL else busy < calm


def test_what_cannot_end_in_time_behind_the_hold_is_told_at_once():
    # Held until it was hopeless, a client had no time left to go elsewhere (bc-coast-later overload).
    d = Driver(classes=(CLASSES[0],) * 4)
    ids = [d.request()[0] for _ in range(60)]
    told = [d.at(i.Refuse, x) for x in ids if x in d.ids(i.Refuse)]
    assert told and all(t == [d.now] for t in told)


def test_what_is_being_read_counts_as_running():
    # Short holds climbed past the cores while as many requests again were read (recetas-gt-later big-1);
    # handshakes, which want the cores too but leave nothing unread, do not count.
    for unread, runnable, running in ((0, 0, 3), (0, 3, 3), (900 * MS, 3, 1)):
        d = Driver(cores=2, tip_multiple=8.0, classes=(CLASSES[0],) * 4)
        for _ in range(30):
            d.run_for(500 * MS, every=100 * MS, gauges={"cpu_busy": 1.0, "runnable": runnable})
            d.done(d.request(unread_for=unread)[0])
        for _ in range(3):
            d.request(unread_for=unread)
        assert d.controller.cores == running


def test_a_request_turned_away_is_told_to_wait_a_part_of_its_aim_at_most():
    # A back-off of a second leaves a client with an aim of a second nothing (bc-coast-later overload).
    d = Driver(classes=(CLASSES[0],) * 4, max_backoff=10 * S)
    for _ in range(60):
        d.request()
    told = [a.backoff for a in d.said(i.Refuse)]
    assert told and 0 < max(told) <= 500 * MS


@pytest.mark.parametrize("marked", [False, True])
def test_in_a_retry_storm_what_is_turned_away_is_not_sent_around(marked):
    # Unmarked retries of a full fleet came back as 4.7 attempts a request (incident i7f0c19).
    d = Driver(marks_retry=marked, classes=(CLASSES[0],) * 4)
    for n in range(200):
        d.request(retry=marked and n % 3 > 0)
        d.now += 10 * MS
    said = [a.no_retry for a in d.said(i.Refuse)]
    assert marked or not all(said[:10])
    assert sum(said[-50:]) > 35


def test_callers_are_forgotten_and_a_beat_costs_the_same_with_many():
    d = Driver(advice=i.Advice.WINDOW)
    for n in range(3000):
        d.request(caller=n, remaining=20 * MS)
        d.run_for(25 * MS)
    assert len(d.controller.heard) < 500 and not d.controller.jobs


def test_turning_away_alone_never_reports_bad_health():
    # Swamped servers that left the list took the whole fleet with them in overload (incident i50d041).
    d = Driver(marks_retry=False)
    d.request(remaining=60 * S)  # one runs, so that what cannot meet its aim is not tried
    for _ in range(60):
        for _ in range(3):
            d.request(remaining=1 * MS)
        d.run_for(25 * MS)
    assert len(d.ids(i.Refuse)) == 180 and d.said(i.Health) == [i.Health(True, True)]


def test_a_repeat_with_no_memory_to_wait_in_gets_an_error_and_is_not_run_or_refused():
    d = Driver(memory_kb=1100.0)
    first, _ = d.request(kind=WRITE, memory_kb=60.0)
    assert d.ids(i.Start) == [first]
    again, _ = d.request(kind=WRITE, original=first, retry=True, memory_kb=900.0)
    assert d.ids(i.Fail) == [again] and again not in d.ids(i.Join) + d.ids(i.Start) + d.ids(i.Refuse)


def test_starts_leave_room_for_the_calls_that_may_all_come_back_at_once():
    d = Driver(below=i.Below.TIER, memory_kb=1e9, tip_multiple=3.0, classes=(CLASSES[0],) * 4)
    for _ in range(60):
        job_id, _ = d.request(remaining=60 * S)
        d.run_for(5 * MS, every=5 * MS, gauges={"cpu_busy": 0.1})
        if job_id in d.ids(i.Start):
            d.send(i.CallNeeded(job_id))
    assert 6 <= len(d.ids(i.Start)) <= 4 * 3
    assert len(d.ids(i.Call)) <= 4 * 3


def test_idle_connections_are_closed_early_only_where_callers_do_not_come_back():
    # With 1,100 callers a full connection table took the cores and kept callers out (incident i405846); with
    # 270 callers, closing early cost two handshakes a request (h47e6e8).
    for callers, kept in ((5, True), (150, True), (1000, False)):
        d = Driver(callers=callers)
        for n in range(120):
            job_id, _ = d.request(caller=n % callers)
            d.done(job_id)
            d.run_for(100 * MS, every=100 * MS)
        assert (d.said(i.KeepAlive)[-1].hold_for == 0) is kept


TENANTS = (i.Tenant("large", 20.0, 0.5), i.Tenant("small", 20.0, 0.5))


def tenants_driver(**changes):
    return Driver(tenants=TENANTS, goal=i.Goal(0.5, 0.1, 0.1, 0.3), classes=(CLASSES[0],) * 4, **changes)


def test_a_tenant_past_its_share_yields_to_one_within_it():
    # All traffic of a tenant that sends three times its share was weighed like that within a share, and as it
    # was turned away most, it looked worst served (dar-recordings big-2).
    d = tenants_driver(marks_retry=False)
    for n in range(400):
        d.request(tenant=0 if n % 4 else 1)
        d.run_for(200 * MS, every=100 * MS)
        if n % 2 == 0:
            d.done([x for x in d.ids(i.Start) if x in d.controller.jobs][0])
    large, small = ({f"r{n + 1}" for n in range(200, 400) if (n % 4 > 0) is big} for big in (True, False))
    started = set(d.ids(i.Start))
    assert len(started & small) / len(small) > 0.8 > 0.5 > len(started & large) / len(large) > 0.1


def test_within_its_share_a_tenant_is_weighed_alike_however_often_it_is_asked_again():
    d = tenants_driver()
    c = d.controller
    for _ in range(10):
        d.done(d.request(tenant=1)[0])
        d.request(tenant=0, remaining=20 * MS)
        d.run_for(200 * MS)
    d.request(tenant=0, id="a"), d.request(tenant=1, id="b")
    jobs = dict(c.jobs)
    assert c._value(jobs["a"]) > c._value(jobs["b"]) > 0  # the one turned away lacks more


@pytest.mark.parametrize("advice", [i.Advice.LEVEL, i.Advice.WEIGHT, i.Advice.WINDOW])
def test_the_same_advice_is_not_repeated(advice):
    d = Driver(advice=advice)
    d.run_for(5 * S, every=100 * MS)
    assert len(d.said(i.Advise)) == 1


def test_one_that_cannot_be_called_for_again_is_answered_in_the_same_reply():
    for ending in (i.Outcome.TIMED_OUT, i.Outcome.RESET, i.Outcome.FAILED):
        d = shared()
        job_id, _ = d.request(kind=WRITE)
        d.send(i.CallNeeded(job_id))
        assert i.Fail(job_id) in d.send(i.CallEnded(job_id, ending, 10 * MS))


def test_after_slow_calls_one_is_let_out_again_when_the_period_is_over():
    d = shared(fair_calls=0.5, classes=(CLASSES[0],) * 4)
    for _ in range(3):
        job_id, _ = d.request(kind=READ)
        d.send(i.CallNeeded(job_id))
        if job_id in d.ids(i.Call):
            d.now += 900 * MS
            d.send(i.CallEnded(job_id, i.Outcome.OK, 1100 * MS))
    calls = len(d.ids(i.Call))
    d.run_for(6 * S, every=100 * MS)
    job_id, _ = d.request(kind=READ)
    d.send(i.CallNeeded(job_id))
    assert len(d.ids(i.Call)) > calls


def test_what_is_worth_little_anywhere_is_not_sent_around():
    d = tenants_driver(marks_retry=True, fleet_size=40)
    for n in range(60):
        d.request(tenant=0)
        d.run_for(100 * MS, every=100 * MS)
        if n % 3 == 0:
            d.done(next(x for x in d.ids(i.Start) if x in d.controller.jobs))
    said = [a.no_retry for a in d.said(i.Refuse)]
    assert len(said) > 20 and all(said[-10:])


def test_the_first_values_of_the_means_count_whatever_the_clock_shows():
    d = Driver()
    before = d.controller.took[0].value
    d.done(d.request()[0], took=1 * MS)
    assert d.controller.took[0].value > before / 2


def test_a_pause_of_the_process_is_neither_time_at_work_nor_a_stall():
    d = Driver()
    for _ in range(4):
        d.request(remaining=20 * S)
    d.run_for(500 * MS, every=100 * MS)
    before, d.now = sum(d.controller.curve.time), d.now + 30 * S
    d.send(i.Alarm(1, {"cpu_busy": 1.0}))
    assert sum(d.controller.curve.time) - before <= 0.11 and i.Health(False, True) not in d.said(i.Health)


# ---- settings at their edges


@pytest.mark.parametrize(
    "changes",
    [
        {"cores": 1, "fleet_size": 1, "callers": 0},
        {"callers": 1000, "advice": i.Advice.WINDOW},
        {"cold": 0, "just_started": True, "cold_from": 0.0},
        {"step": 1, "idle": 0, "max_backoff": 0, "drain_grace": 0},
        {"tenants": (i.Tenant("none", 0.0, 0.0),)},
        {"below": i.Below.SHARED, "fair_calls": 0.0, "calls_over": 1, "lingers": 0},
        {
            "cores": 2,
            "tells_gone": True,
            "passes_deadline": False,
            "below": i.Below.SHARED,
            "fair_calls": 0.02,
            "calls_over": 5 * S,
            "lingers": 200 * MS,
            "marks_retry": False,
            "tenants": (i.Tenant("far over", 1.0, 0.4), *(i.Tenant(f"t{n}", 90.0, 0.15) for n in range(4))),
        },
    ],
)
def test_settings_at_their_edges_and_missing_gauges_decide_without_a_fault(changes):
    d = Driver(**changes)
    for n in range(40):
        job_id, _ = d.request(kind=n % 4, caller=n, tenant=0 if d.settings.tenants else None)
        if d.settings.tells_gone and n % 3 == 0:
            d.send(i.CallerGone(job_id))
        d.run_for(100 * MS, every=100 * MS, gauges={})
        if job_id in d.ids(i.Start):
            d.send(i.CallNeeded(job_id))
            d.done(job_id)
    d.send(i.Leave(0))
    d.run_for(6 * S, gauges={})
    assert not d.controller.jobs and d.ids(i.Start)


def test_what_a_site_lacks_can_be_left_out():
    page = i.RequestClass(name="page", aim=2 * S, deadline=5 * S)
    bare = i.Settings(classes=(page,), cores=2, memory_kb=1000.0, tip_multiple=3.0, fall=S)
    c = AdmissionController(bare, 1)
    c.handle(0, i.Started())
    assert i.Start("a") in c.handle(0, i.Request("a", 0))


def test_what_falls_due_before_the_next_beat_is_answered_when_it_is_read():
    d = Driver()
    first, _ = d.request(kind=WRITE)
    d.request(remaining=60 * S)  # the server is not empty
    short, _ = d.request(remaining=50 * MS)
    again, _ = d.request(kind=WRITE, original=first, retry=True, remaining=50 * MS)
    assert d.at(i.Refuse, short) + d.at(i.Start, short) == [d.now] and d.at(i.Fail, again) == [d.now]
    d = Driver()
    alone, _ = d.request(remaining=50 * MS)
    assert d.at(i.Refuse, alone) == [d.now]


def test_starts_past_the_cores_do_not_overdraw_the_memory():
    d = Driver(memory_kb=700.0, tip_multiple=8.0, classes=(CLASSES[0],) * 4)
    for _ in range(40):  # idle cores raise the floor, as with runs that wait for disk
        for _ in range(3):
            d.request(remaining=60 * S)
        d.run_for(25 * MS, gauges={"cpu_busy": 0.1})
        assert d.controller.used <= 700.0
        d.done([x for x in d.ids(i.Start) if x in d.controller.jobs][0])
