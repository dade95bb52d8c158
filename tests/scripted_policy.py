"""A scripted policy for tests of the driver, and requests for it."""

from marbleglade.model.request import Request, RequestClass
from marbleglade.model.upstream import Upstream
from tests.harness.units import NS_PER_MS


class ScriptedPolicy:
    """A policy whose decisions a test sets; it records the calls of its driver."""

    def __init__(self, driver):
        self.driver, self.calls = driver, []
        self.on_request, self.on_failure = None, None  # called with the request, to decide on it
        self.cache = Upstream(b"c")

    def start_attempt(self, request):
        return self.driver.start_attempt(
            request, self.cache, self.cache, 500 * NS_PER_MS, cache_priority=2, refresh=True
        )

    def handle_request(self, request):
        self.calls.append("handle_request")
        (self.on_request or self.start_attempt)(request)

    def attempt_finished(self, attempt):
        self.calls.append(attempt.result)
        if self.on_failure and not attempt.request.finished:
            self.on_failure(attempt.request)

    def client_disconnected(self, request):
        self.calls.append("client_disconnected")
        for attempt in request.attempts:
            if attempt.result is None:
                self.driver.cancel_attempt(attempt)

    def give_up(self, request):
        self.driver.reject(request, 40 * NS_PER_MS)

    def on_timer(self):
        self.calls.append("on_timer")
        self.driver.schedule_wakeup(10 * NS_PER_MS)


def new_request(clock, timeout_ms=500):
    return Request(
        RequestClass(100 * NS_PER_MS, 0.0, 500 * NS_PER_MS),
        5,
        0,
        1,
        0.0,
        clock[0],
        clock[0] + timeout_ms * NS_PER_MS,
    )
