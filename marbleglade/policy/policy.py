"""The policy of one front: selects upstreams and fill sources, and decides on retries and rejections.

A front creates one `Policy` and calls it through `PolicyProtocol`; the policy acts through `PolicyHost` and
uses neither I/O nor clocks of its own. A request passes through the stages `Admission`, `Retry`,
`LocalCacheStage`, `Routing`, `FillSource` and `Dispatch` until one of them sends an attempt or ends the
request. The result of an attempt passes through the stages in reverse order. See `docs/design.md` for the
reasons behind this design.
"""

from __future__ import annotations

from ..model.attempt import Attempt
from ..model.fleet_view import FleetView, LinkUsage, LoadObservations
from ..model.parameters import Parameters
from ..model.policy_protocol import PolicyHost
from ..model.request import Request
from ..model.upstream import Upstream, name_hash
from ..state.directory import Directory
from .cache_age import CacheAgeLimit
from .cache_selection import CacheSelection
from .durations import Durations
from .failure_attribution import FailureAttribution
from .fleet_hints import FleetHints
from .known_upstreams import KnownUpstreams
from .latency_prediction import LatencyPrediction
from .link_model import SharedLinks
from .link_observation import LinkObserver
from .load_estimate import LoadEstimate
from .load_probing import LoadProbing
from .numbered_random import NumberedRandom
from .object_history import ObjectHistories
from .origin_overload import OriginOverload
from .parent_selection import ParentSelection
from .rejection import Rejection
from .rendezvous import rank_by_rendezvous
from .retry_budget import RetryBudget
from .slow_start import SlowStart
from .stages.admission import Admission
from .stages.dispatch import Dispatch
from .stages.fill_source import FillSource
from .stages.local_cache import LocalCacheStage
from .stages.retry import Retry
from .stages.routing import Routing
from .stages.stage import ResultStage
from .timers import AttemptTimers

MAX_OBJECTS = 1 << 13  # capacity of the directory, and of the object histories, in parts of objects
# How long a recovered upstream is reported to the fleet, in shortest latency objectives.
RECOVERY_REPORT_OBJECTIVES = 4


class Policy:
    """Creates the components of the policy and dispatches each event to the component that handles it."""

    def __init__(self, parameters: Parameters, host: PolicyHost) -> None:
        self.parameters = parameters
        self.host = host
        self.durations = Durations.derive(parameters)
        self._create_parts(host.now())
        self._create_stages()
        host.schedule_wakeup(self.durations.timer_interval)
        if parameters.must_poll_endpoints:
            host.poll_endpoints()

    def _create_parts(self, now: int) -> None:
        parameters, host, durations = self.parameters, self.host, self.durations
        random = NumberedRandom(parameters.seed)
        self.links = SharedLinks(parameters.fleet_size, now, durations.observation_lifetime)
        self.upstreams = KnownUpstreams(host, parameters, durations, self.links, random)
        self.fleet_hints = FleetHints(host, parameters, durations, self.upstreams, self.links)
        self.load = LoadEstimate(now, durations.observation_lifetime)
        self.load_probing = LoadProbing(host, parameters, durations, self.upstreams, self.fleet_hints, random)
        self.histories = ObjectHistories(MAX_OBJECTS)
        self.directory = Directory(MAX_OBJECTS)
        self.cache_age = CacheAgeLimit(parameters)
        self.retry_budget = RetryBudget(host, self.fleet_hints)
        self.rejection = Rejection(host, parameters, durations, self.fleet_hints, random)
        self.attribution = FailureAttribution(host, parameters, durations, self.upstreams, self.retry_budget)
        self.timers = AttemptTimers(parameters, durations, random, self.attribution)

    def _create_stages(self) -> None:
        parameters, host, durations = self.parameters, self.host, self.durations
        slow_start = SlowStart(parameters, self.upstreams, self.load)
        cache_selection = CacheSelection(self.upstreams, self.fleet_hints, slow_start)
        parents = ParentSelection(self.upstreams, slow_start)
        prediction = LatencyPrediction(host, durations, self.links, self.cache_age)
        dispatch = Dispatch(
            host,
            parameters,
            self.cache_age,
            self.load,
            self.links,
            prediction,
            self.timers,
            self.attribution,
            LinkObserver(host, durations),
        )
        self.fill_source = FillSource(
            host, parameters, durations, parents, self.cache_age, self.directory, dispatch
        )
        routing = Routing(
            host,
            parameters,
            durations,
            self.upstreams,
            cache_selection,
            parents,
            self.links,
            prediction,
            OriginOverload(parameters, self.links),
            self.rejection,
            self.fill_source,
            dispatch,
        )
        local_cache = LocalCacheStage(host, parameters, self.cache_age, routing)
        retry = Retry(host, parameters, durations, self.retry_budget, local_cache)
        self._admission = Admission(
            host, parameters, self.histories, self.load, self.retry_budget, self.rejection, retry
        )
        self._result_stages: list[ResultStage] = [dispatch, self.fill_source, retry, self._admission]

    def update_endpoints(self, upstreams: list[Upstream], complete: bool) -> None:
        """Update the upstreams.

        Args:
            upstreams: The upstreams that changed, or the complete endpoint list.
            complete: Whether the list is complete; upstreams that it does not contain are then removed.
        """
        self.upstreams.update(upstreams, complete)

    def endpoints_unavailable(self) -> None:
        """Poll for the endpoint list again after a poll has failed."""
        self.host.poll_endpoints()

    def handle_request(self, request: Request) -> None:
        """Pass a new request to the first stage."""
        self._admission.handle_request(request)

    def client_disconnected(self, request: Request) -> None:
        """Cancel the attempts in flight of a request whose client has disconnected, if that is enabled."""
        for attempt in request.attempts:
            if attempt.result is None and self.parameters.can_cancel:
                self.host.cancel_attempt(attempt)

    def response_started(self, attempt: Attempt) -> None:
        """Record that the first bytes of a response have arrived."""
        attempt.request.context.response_started = True
        attempt.upstream.health.last_response_at = self.host.now()

    def attempt_finished(self, attempt: Attempt) -> None:
        """Pass the result of an attempt to the stages in reverse order, until one of them consumes it."""
        for stage in self._result_stages:
            if not stage.handle_result(attempt):
                break

    def on_timer(self) -> None:
        """Schedule the next run, send load probes that are due and check expired attempt deadlines."""
        now = self.host.now()
        self.host.schedule_wakeup(self.durations.timer_interval)
        self.load_probing.run(now)
        self.timers.run_expired(now)

    def handle_purge(self, object_id: int, group: int, purged_at: int) -> None:
        """Apply a purge of an object or, if `object_id` is 0, of a group; `purged_at` in ns."""
        self.cache_age.add_purge(object_id, group, purged_at, self.host.now())
        self.directory.purge(object_id, group)

    def limit_cache_age(self, max_age: int) -> None:
        """Limit the age of all cached responses to `max_age` ns; 0 (`DEFAULT_MAX_AGE`) removes the limit."""
        self.cache_age.set_general_limit(max_age)

    def give_up(self, request: Request, reason: str = "") -> None:
        """Reject a request at once if its client may safely retry it, else fail it."""
        self.rejection.give_up(request, reason)

    def apply_fleet_view(self, view: FleetView) -> None:
        """Apply the combined observations of all fronts in the fleet."""
        self.fleet_hints.apply(view)

    def observations(self) -> LoadObservations:
        """Return the observations of this front, which are sent to the fleet."""
        now = self.host.now()
        upstreams = [(name_hash(each.name), each.health) for each in self.upstreams.listed]
        recent = self.durations.shortest_objective * RECOVERY_REPORT_OBJECTIVES
        return LoadObservations(
            requested_work=self.load.total,
            first_requests=self.retry_budget.first_requests,
            retry_cost=int(self.retry_budget.spent),
            rejected=self.rejection.count,
            links={
                number: LinkUsage(link.total_work, link.total_time)
                for number, link in self.links.numbered_links(self.parameters.zone)
            },
            open_circuits=[name for name, health in upstreams if health.is_ejected],
            recovered=[name for name, health in upstreams if now - health.recovered_at < recent],
        )

    def preferred_upstreams(self, count: int) -> list[list[Upstream]]:
        """Return the zone's caches in rendezvous order for each of the `count` most requested parts."""
        caches = self.upstreams.zone_caches
        most_used = self.histories.most_used(count)
        return [rank_by_rendezvous(caches, object_id, part) for object_id, part in most_used]
