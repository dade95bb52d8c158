"""A policy with a stub host and a manual clock, for tests."""

from marbleglade.model.attempt import AttemptResult, ResponseSource
from marbleglade.model.request import DeduplicationScope, Idempotency, Request, RequestClass
from marbleglade.model.upstream import Upstream, UpstreamRole
from marbleglade.policy.policy import Policy
from marbleglade.testing.policy_stub import StubPolicyHost, policy_parameters
from tests.harness.units import NS_PER_MS, START_NS


class PolicyHarness(StubPolicyHost):
    """A policy with four caches, three parents and an origin; it is also the host and records its calls."""

    def __init__(
        self, idempotency=Idempotency.IDEMPOTENT, deduplication_scope=DeduplicationScope.ALL, **changes
    ):
        super().__init__(START_NS)
        self.attempts, self.max_ages, self.cache_locally = [], [], []
        self.actions, self.recorded_actions = [], []
        self.only_if_cached = False
        request_class = dict(
            latency_objective=300 * NS_PER_MS,
            objective_stretch=2.0,
            client_timeout=2500 * NS_PER_MS,
            idempotency=idempotency,
            deduplication_scope=deduplication_scope,
            deduplication_window=2000 * NS_PER_MS,
            freshness_lifetime=changes.pop("freshness_lifetime", 0),
            stale_grace=0,
        )
        self.parameters = policy_parameters([RequestClass(**request_class)], **changes)
        self.policy = Policy(self.parameters, self)
        self.caches = [Upstream(b"c%d" % n, zone=1, cell=n) for n in range(4)]
        self.parents = [Upstream(b"p%d" % n, UpstreamRole.PARENT) for n in range(3)]
        self.origin = Upstream(b"o", UpstreamRole.ORIGIN)
        self.policy.update_endpoints([*self.caches, *self.parents, self.origin], True)

    def start_attempt(
        self,
        request,
        upstream,
        fill_source,
        timeout,
        cache_priority=0,
        max_age=0,
        join_fill=False,
        only_if_cached=False,
        cache_locally=None,
        **_,
    ):
        attempt = self.begin_attempt(request, upstream, fill_source, timeout, cache_priority)
        self.only_if_cached = only_if_cached
        self.cache_locally.append(cache_locally)
        self.attempts.append(attempt)
        self.max_ages.append(max_age)
        return attempt

    def serve_cached(self, request):
        request.finished = True
        self.actions.append(("serve_cached", request))

    def cancel_attempt(self, attempt):
        self.actions.append(("cancel", attempt))

    def reject(self, request, retry_after=0):
        request.finished = True
        self.actions.append(("reject", request))

    def fail(self, request):
        request.finished = True
        self.actions.append(("fail", request))

    def probe_load(self, upstream):
        self.actions.append(("probe", upstream))

    def poll_endpoints(self):
        self.actions.append(("poll", None))

    def record_action(self, action):
        self.recorded_actions.append(action)

    def request(self, object_id=1, size_kb=50.0, timeout_ms=2500, cached=None):
        """Pass a new request to the policy and return it."""
        request = Request(
            self.parameters.request_classes[0],
            object_id,
            0,
            object_id % 8,
            size_kb,
            self.clock,
            self.clock + timeout_ms * NS_PER_MS,
            cached=cached,
        )
        self.policy.handle_request(request)
        return request

    def finish(
        self, attempt, result=AttemptResult.OK, after_ms=60, source=ResponseSource.NOTHING, not_modified=False
    ):
        """Report the result of an attempt `after_ms` later; return the last attempt that the policy sent."""
        self.clock += after_ms * NS_PER_MS
        attempt.not_modified = not_modified
        attempt.result = result
        attempt.latency = self.clock - attempt.sent_at
        attempt.response_source = source
        attempt.request.finished = attempt.request.finished or result is AttemptResult.OK
        self.policy.attempt_finished(attempt)
        return self.attempts[-1]
