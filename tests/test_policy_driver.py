"""The policy driver turns the callbacks of a scripted policy into blocking calls."""

import gevent
import pytest

from marbleglade.model.attempt import AttemptResult
from marbleglade.model.policy_action import PolicyAction, PolicyActionKind
from marbleglade.policy_driver import PolicyDriver
from marbleglade.runtime.counters import Counters
from marbleglade.state.decisions import AttemptOrder, RequestOutcome
from tests.harness.units import NS_PER_MS
from tests.scripted_policy import ScriptedPolicy, new_request


def test_a_request_is_attempted_and_served(driver_with_policy):
    driver, policy, clock = driver_with_policy
    request = new_request(clock)
    order = driver.next_step(request)
    assert isinstance(order, AttemptOrder)
    assert (order.attempt.cache_priority, order.refresh, order.join_fill) == (2, True, False)
    clock[0] += 30 * NS_PER_MS
    driver.report_result(order, AttemptResult.OK, True)
    assert order.attempt.latency == 30 * NS_PER_MS
    assert order.attempt.not_modified and request.finished
    assert driver.next_step(request).outcome is RequestOutcome.SERVED
    driver.forget(request)
    assert policy.calls == ["handle_request", AttemptResult.OK]
    assert not len(driver.open_requests)


@pytest.mark.parametrize(
    "decide, outcome, retry_after",
    [
        (
            lambda driver, request: driver.reject(request, 40 * NS_PER_MS),
            RequestOutcome.REJECTED,
            40 * NS_PER_MS,
        ),
        (lambda driver, request: driver.fail(request), RequestOutcome.FAILED, 0),
    ],
)
@pytest.mark.parametrize("at_once", [True, False])
def test_a_rejection_or_failure_ends_the_request(driver_with_policy, decide, outcome, retry_after, at_once):
    driver, policy, clock = driver_with_policy
    request = new_request(clock)
    if at_once:
        policy.on_request = lambda request: decide(driver, request)
    else:
        policy.on_failure = lambda request: decide(driver, request)
        driver.report_result(driver.next_step(request), AttemptResult.REJECTED)
    decision = driver.next_step(request)
    assert (decision.outcome, decision.retry_after, request.finished) == (outcome, retry_after, True)


def test_a_decision_that_is_made_at_once_is_returned_without_a_wait(driver_with_policy):
    driver, policy, clock = driver_with_policy
    attempted, served = new_request(clock), new_request(clock)
    assert driver.submit(attempted) is None
    assert isinstance(driver.next_step(attempted), AttemptOrder)
    policy.on_request = driver.serve_cached
    decision = driver.submit(served)
    assert (decision.outcome, decision.from_local_cache) == (RequestOutcome.SERVED, True)


def test_attempts_that_an_error_left_in_flight_are_cancelled_and_removed(driver_with_policy):
    driver, policy, clock = driver_with_policy
    request = new_request(clock)
    order = driver.next_step(request)
    request.finished = True
    driver.forget(request)
    assert policy.calls == ["handle_request", AttemptResult.CANCELLED]
    assert order.attempt.result is AttemptResult.CANCELLED
    assert request.attempts == [] and not len(driver.open_requests)


def test_a_retry_follows_a_failed_attempt(driver_with_policy):
    driver, policy, clock = driver_with_policy
    request = new_request(clock)
    policy.on_failure = policy.start_attempt
    first = driver.next_step(request)
    driver.report_result(first, AttemptResult.RESET)
    second = driver.next_step(request)
    assert second.attempt is not first.attempt and request.attempts == [first.attempt, second.attempt]


def test_a_cancelled_attempt_ends_its_wait_and_is_reported_later(driver_with_policy):
    driver, policy, clock = driver_with_policy
    request = new_request(clock)
    order = driver.next_step(request)
    waiter = gevent.spawn(order.result.get)
    gevent.sleep(0)
    driver.cancel_attempt(order.attempt)
    assert waiter.get(timeout=1) is None
    assert policy.calls == ["handle_request"]  # the result is passed on when it is reported
    driver.report_result(order, AttemptResult.CANCELLED)
    assert policy.calls == ["handle_request", AttemptResult.CANCELLED]


def test_a_disconnected_client_ends_its_request_and_its_attempt(driver_with_policy):
    driver, policy, clock = driver_with_policy
    request = new_request(clock)
    order = driver.next_step(request)
    driver.client_disconnected(request)
    driver.client_disconnected(request)
    assert order.result.ready() and request.finished
    assert policy.calls == ["handle_request", "client_disconnected"]
    driver.report_result(order, AttemptResult.CANCELLED)
    assert driver.next_step(request).outcome is RequestOutcome.CANCELLED
    driver.forget(request)
    driver.client_disconnected(request)
    assert not len(driver.open_requests)


def test_no_attempt_is_started_for_a_client_that_left_before_its_request_was_submitted(driver_with_policy):
    driver, policy, clock = driver_with_policy
    request = new_request(clock)
    driver.client_disconnected(request)
    assert driver.next_step(request).outcome is RequestOutcome.CANCELLED
    assert policy.calls == []
    assert not len(driver.open_requests)


def test_a_request_that_the_policy_leaves_undecided_fails_at_its_deadline(driver_with_policy):
    driver, policy, clock = driver_with_policy
    request = new_request(clock, timeout_ms=5)
    policy.on_request, driver.counters.strict = lambda _request: None, False
    assert driver.next_step(request).outcome is RequestOutcome.FAILED and request.finished
    assert driver.counters.table() == {"violated_invariant.undecided_at_deadline": 1}


def test_giving_up_all_decides_every_open_request(driver_with_policy):
    driver, _policy, clock = driver_with_policy
    requests = [new_request(clock) for _ in range(3)]
    orders = [driver.next_step(request) for request in requests]
    driver.report_result(orders[0], AttemptResult.OK)
    driver.give_up_all()
    outcomes = [driver.next_step(request).outcome for request in requests]
    assert outcomes == [RequestOutcome.SERVED, RequestOutcome.REJECTED, RequestOutcome.REJECTED]
    assert [order.result.ready() for order in orders] == [False, True, True]


def test_due_timers_run_and_the_time_of_the_next_one_is_returned(driver_with_policy):
    driver, policy, clock = driver_with_policy
    driver.schedule_wakeup(10 * NS_PER_MS)
    assert driver.run_timers() == clock[0] + 10 * NS_PER_MS and policy.calls == []
    clock[0] += 35 * NS_PER_MS
    assert driver.run_timers() == clock[0] + 10 * NS_PER_MS and policy.calls == ["on_timer"]


def test_a_nested_call_of_the_policy_is_detected(driver_with_policy):
    driver, policy, clock = driver_with_policy
    policy.on_request = lambda request: driver._call(policy.client_disconnected, request)
    with pytest.raises(AssertionError, match="policy_reentered"):
        driver.next_step(new_request(clock))
    assert not driver.in_call


def test_load_probes_are_fetched_and_load_reports_stored(driver_with_policy):
    driver, policy, clock = driver_with_policy
    driver.probe_load(policy.cache)
    assert driver.next_probe() is policy.cache
    driver.record_load_report(policy.cache, {"x1": 1.5})
    assert (policy.cache.congestion, policy.cache.reported_at) == (1.5, clock[0])


def test_an_action_of_the_policy_is_passed_on_to_the_log():
    logged = []
    driver = PolicyDriver(
        None, lambda _, driver: ScriptedPolicy(driver), lambda: 0, 0, Counters(), logged.append
    )
    ejection = PolicyAction(PolicyActionKind.EJECTED, driver.policy.cache)
    driver.record_action(ejection)
    assert logged == [ejection]
