"""When a front that shuts down ends open requests, and when it may exit."""

import pytest

from marbleglade.runtime.shutdown import GracefulShutdown
from tests.harness.units import NS_PER_MS, SECOND_NS


@pytest.mark.parametrize(
    "timeout, since_s, pending, may_exit, must_end_requests",
    [
        (5 * SECOND_NS, None, 0, False, False),
        (5 * SECOND_NS, 0.3, 0, False, False),
        (5 * SECOND_NS, 0.8, 0, True, False),
        (5 * SECOND_NS, 0.8, 1, False, False),
        (5 * SECOND_NS, 3.5, 1, False, True),
        (2 * SECOND_NS, 2.6, 1, False, True),
    ],
)
def test_a_front_exits_or_ends_requests_depending_on_the_time_since_the_shutdown_request(
    timeout, since_s, pending, may_exit, must_end_requests
):
    shutdown = GracefulShutdown(timeout)
    if since_s is not None:
        shutdown.request(1000 * SECOND_NS)
        shutdown.request(1001 * SECOND_NS)  # only the first request counts
    now = 1000 * SECOND_NS + int((since_s or 0) * SECOND_NS)
    assert (shutdown.may_exit(now, pending), shutdown.must_end_requests(now)) == (may_exit, must_end_requests)


@pytest.mark.parametrize("timeout_ms, give_up_after_ms", [(5000, 3400), (2000, 2500), (300, 900), (50, 700)])
def test_open_requests_are_given_up_in_time_to_write_their_responses(timeout_ms, give_up_after_ms):
    # The front is killed no earlier than 0.7 s plus the longest timeout (at most 3 s) after SIGTERM.
    shutdown = GracefulShutdown(timeout_ms * NS_PER_MS)
    shutdown.request(0)
    assert shutdown.give_up_after == give_up_after_ms * NS_PER_MS
