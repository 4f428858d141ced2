package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.banyancove.core.AccountName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.admission.AdmissionRule;
import org.banyancove.gateway.admission.QuotaLimiter;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.endpoint.Prompt;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.resumption.StreamOrigins;
import org.banyancove.gateway.retry.RetryBudgets;
import org.banyancove.gateway.rollout.ServingEndpoints;
import org.banyancove.gateway.shared.CallerHeaders;
import org.banyancove.gateway.shared.HeaderCodec;
import org.banyancove.gateway.shared.MonotonicClock;
import org.banyancove.gateway.waiting.BacklogRule;
import org.jspecify.annotations.Nullable;

/**
 * Admits and routes the callers' requests, and holds the state that they share.
 */
public final class RequestDispatcher {

	/**
	 * The maximum number of requests that wait for the first configuration: one second of
	 * requests at a gateway's peak load.
	 */
	private static final int MAXIMUM_DEFERRED_REQUESTS = 256;

	private final EventLoop eventLoop;

	private final MonotonicClock clock;

	private final InstantSource wallClock;

	private final RandomGenerator random;

	private final HeaderCodec headerCodec;

	private final ConnectionPool connections;

	private final ServingEndpoints endpoints;

	private final EndpointFreshness freshness;

	private final PlacementRule placement;

	private final Meters meters;

	private final RequestLog requestLog;

	private final EndpointAnnouncements announcements;

	private final RetryBudgets retryBudgets;

	private final RequestQuarantine quarantine;

	private final StreamOrigins streamOrigins;

	private final ResponseBuffers responseBuffers = new ResponseBuffers();

	private final ConnectionAllowance connectionAllowance = new ConnectionAllowance();

	private final AdmissionRule admission = new AdmissionRule();

	private final BacklogRule backlogRule = new BacklogRule(this.admission);

	private final QuotaLimiters quotas = new QuotaLimiters();

	private final RequestQueues queues;

	private final List<DeferredRequest> deferred = new ArrayList<>();

	private @Nullable Configuration configuration;

	private DrainPhase drainPhase = DrainPhase.ALL;

	private int inProgress;

	/**
	 * Creates the dispatcher.
	 * @param eventLoop the event loop on which all requests are processed
	 * @param clock the monotonic clock
	 * @param wallClock the wall clock
	 * @param random selects among the services of a route and the versions of a service
	 * @param headerCodec reads and writes headers
	 * @param connections the connections to endpoints
	 * @param endpoints the endpoints
	 * @param freshness how recent the endpoints are
	 * @param placement selects an endpoint
	 * @param meters count the requests that ran and estimate their demand
	 * @param requestLog receives the outcomes of requests
	 * @param retryBudgets the retries that this gateway may grant
	 * @param quarantine the requests that crash endpoints
	 * @param streamOrigins the origins of the fleet's streams
	 */
	public RequestDispatcher(EventLoop eventLoop, MonotonicClock clock, InstantSource wallClock, RandomGenerator random,
			HeaderCodec headerCodec, ConnectionPool connections, ServingEndpoints endpoints,
			EndpointFreshness freshness, PlacementRule placement, Meters meters, RequestLog requestLog,
			RetryBudgets retryBudgets, RequestQuarantine quarantine, StreamOrigins streamOrigins) {
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.wallClock = wallClock;
		this.random = random;
		this.headerCodec = headerCodec;
		this.connections = connections;
		this.endpoints = endpoints;
		this.freshness = freshness;
		this.placement = placement;
		this.meters = meters;
		this.requestLog = requestLog;
		this.announcements = new EndpointAnnouncements(requestLog);
		this.queues = new RequestQueues(eventLoop, clock, requestLog);
		this.retryBudgets = retryBudgets;
		this.quarantine = quarantine;
		this.streamOrigins = streamOrigins;
	}

	/**
	 * Applies a configuration and starts the requests that were deferred for it.
	 * @param newConfiguration the configuration
	 */
	public void configure(Configuration newConfiguration) {
		this.configuration = newConfiguration;
		this.quotas.configure(newConfiguration, this.clock.nanos());
		this.deferred.forEach(DeferredRequest::start);
		this.deferred.clear();
	}

	/**
	 * Updates the fleet.
	 * @param listedGateways the number of gateways that may be running, including this
	 * one, or 0 if it is unknown
	 * @param fleet what this gateway hears of the others
	 * @param allEndpoints the endpoints of all services
	 */
	public void updateFleet(int listedGateways, FleetView fleet, Collection<Endpoint> allEndpoints) {
		this.connectionAllowance.update(listedGateways, fleet, allEndpoints, this.clock.nanos());
		this.quotas.setReachableShare(fleet.reachableShare());
	}

	/**
	 * Adds the quota usage of another gateway.
	 * @param used the usage since its last report, by client account
	 */
	public void addRemoteUsage(Map<AccountName, Double> used) {
		this.quotas.addRemoteUsage(used, this.clock.nanos());
	}

	/**
	 * Returns the quota usage accepted by this gateway since its start.
	 * @return the totals by client account
	 */
	public Map<AccountName, Double> quotaUsage() {
		return this.quotas.used();
	}

	/**
	 * Sets the drain phase.
	 * @param newDrainPhase the phase
	 */
	public void setDrainPhase(DrainPhase newDrainPhase) {
		this.drainPhase = newDrainPhase;
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number
	 */
	public int inProgress() {
		return this.inProgress;
	}

	InFlightRequest begin(CallerConnection caller, CallerRequest request) {
		if (this.configuration == null && this.deferred.size() < MAXIMUM_DEFERRED_REQUESTS) {
			return defer(caller, request);
		}
		return beginNow(caller, request);
	}

	private InFlightRequest defer(CallerConnection caller, CallerRequest request) {
		DeferredRequest deferredRequest = new DeferredRequest(() -> beginNow(caller, request));
		this.deferred.add(deferredRequest);
		Duration deadline = this.headerCodec.readCaller(request.head().headers()).deadline();
		this.eventLoop.schedule(() -> {
			this.deferred.remove(deferredRequest);
			deferredRequest.start();
		}, this.admission.maximumStartupWait(deadline).toMillis(), TimeUnit.MILLISECONDS);
		return deferredRequest;
	}

	private InFlightRequest beginNow(CallerConnection caller, CallerRequest request) {
		CallerHeaders requestHeaders = this.headerCodec.readCaller(request.head().headers());
		RequestRouter router = new RequestRouter(this.configuration, this.drainPhase);
		RoutingDecision decision = router.decide(request.head().headers().get("host"), request.head().uri(),
				requestHeaders, this.random.nextDouble());
		return switch (decision) {
			case RoutingDecision.Rejected rejected -> {
				reject(caller, requestHeaders, rejected.kind(), rejected.retryAfter());
				yield InFlightRequest.NO_OP;
			}
			case RoutingDecision.Accepted accepted when StreamResumption.isResumption(accepted.route(),
					requestHeaders) -> {
				StreamResumption resumption = new StreamResumption(this, caller, request, requestHeaders);
				resumption.start(accepted);
				yield resumption;
			}
			case RoutingDecision.Accepted accepted -> begin(caller, request, requestHeaders, accepted, null);
		};
	}

	RoutingDecision decideResumption(CallerRequest request, CallerHeaders requestHeaders, ServiceName streamOrigin) {
		return new RequestRouter(this.configuration, this.drainPhase)
			.decideResumption(request.head().headers().get("host"), request.head().uri(), requestHeaders, streamOrigin);
	}

	InFlightRequest begin(CallerConnection caller, CallerRequest request, CallerHeaders requestHeaders,
			RoutingDecision.Accepted accepted, @Nullable KnownOrigin streamOrigin) {
		RequestLog.RejectedRequest rejection = chargeQuota(accepted.account(), requestHeaders);
		if (rejection != null) {
			reject(caller, rejection);
			return InFlightRequest.NO_OP;
		}
		this.inProgress++;
		this.retryBudgets.recordRequest(accepted.service().name(), this.clock.nanos());
		Exchange exchange = new Exchange(this, caller, request, requestHeaders, accepted, streamOrigin);
		exchange.begin();
		return exchange;
	}

	private RequestLog.@Nullable RejectedRequest chargeQuota(@Nullable ClientAccount account,
			CallerHeaders requestHeaders) {
		QuotaLimiter limiter = (account != null) ? this.quotas.limiter(account.name(), this.clock.nanos()) : null;
		if (account == null || limiter == null || limiter
			.tryAcquire(limiter.quota().costOf(requestHeaders.prompt().totalTokens()), this.clock.nanos())) {
			return null;
		}
		return new RequestLog.RejectedRequest(requestHeaders.requestId(), ErrorKind.ACCOUNT_OVER_LIMIT,
				limiter.retryAfter(), account.name(), Math.round(limiter.available()), configurationVersion());
	}

	void reject(CallerConnection caller, CallerHeaders requestHeaders, ErrorKind kind, @Nullable Duration retryAfter) {
		reject(caller, new RequestLog.RejectedRequest(requestHeaders.requestId(), kind, retryAfter, null, null,
				configurationVersion()));
	}

	private void reject(CallerConnection caller, RequestLog.RejectedRequest rejection) {
		this.requestLog.rejected(rejection);
		caller.respond(ErrorResponse.of(rejection.kind(), rejection.retryAfter()));
	}

	void rejectedBeforeRead(ErrorKind kind) {
		this.requestLog.rejected(new RequestLog.RejectedRequest(null, kind, null, null, null, configurationVersion()));
	}

	void closedUnread() {
		this.requestLog.connectionClosedUnread();
	}

	void ended() {
		this.inProgress--;
	}

	RetryBudgets retryBudgets() {
		return this.retryBudgets;
	}

	ConnectionLimit connectionLimit(Service service) {
		return this.connectionAllowance.limit(service);
	}

	@Nullable Placement choosePlacement(Service service, List<Endpoint> candidates, Prompt prompt, Duration latencyTarget,
			Set<EndpointId> tried) {
		return this.placement.choose(candidates, prompt, latencyTarget, unavailable(service, candidates, tried),
				this.clock.nanos());
	}

	// An endpoint without a free connection remains the owner and the source of prompts.
	Set<EndpointId> unavailable(Service service, List<Endpoint> candidates, Set<EndpointId> tried) {
		int maximum = connectionLimit(service).open();
		Set<EndpointId> unavailable = new HashSet<>(tried);
		candidates.stream()
			.filter((endpoint) -> endpoint.inFlight() >= maximum)
			.map(Endpoint::id)
			.forEach(unavailable::add);
		return unavailable;
	}

	long configurationVersion() {
		return (this.configuration != null) ? this.configuration.version() : 0;
	}

	/**
	 * Returns the requests that wait for an endpoint.
	 * @return the queues of all services
	 */
	public RequestQueues queues() {
		return this.queues;
	}

	BacklogRule backlogRule() {
		return this.backlogRule;
	}

	QuotaLimiters quotas() {
		return this.quotas;
	}

	EventLoop eventLoop() {
		return this.eventLoop;
	}

	MonotonicClock clock() {
		return this.clock;
	}

	InstantSource wallClock() {
		return this.wallClock;
	}

	double nextRandom() {
		return this.random.nextDouble();
	}

	HeaderCodec headerCodec() {
		return this.headerCodec;
	}

	ConnectionPool connections() {
		return this.connections;
	}

	boolean endpointsCurrent() {
		return this.freshness.current();
	}

	EndpointFreshness freshness() {
		return this.freshness;
	}

	ServingEndpoints endpoints() {
		return this.endpoints;
	}

	PlacementRule placement() {
		return this.placement;
	}

	ResponseBuffers responseBuffers() {
		return this.responseBuffers;
	}

	RequestQuarantine quarantine() {
		return this.quarantine;
	}

	StreamOrigins streamOrigins() {
		return this.streamOrigins;
	}

	AdmissionRule admission() {
		return this.admission;
	}

	Meters meters() {
		return this.meters;
	}

	EndpointAnnouncements announcements() {
		return this.announcements;
	}

	RequestLog requestLog() {
		return this.requestLog;
	}

}
