package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
import org.banyancove.gateway.configuration.TokenQuota;
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
import org.banyancove.gateway.shared.StreamMoveCodec;
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

	private final StreamMigrations migrations;

	private final BodyMemory responseBuffers = new BodyMemory();

	private final ConnectionAllowance connectionAllowance = new ConnectionAllowance();

	private final AdmissionRule admission = new AdmissionRule();

	private final Map<AccountName, QuotaLimiter> quotaLimiters = new HashMap<>();

	private final List<DeferredRequest> deferred = new ArrayList<>();

	private @Nullable Configuration configuration;

	private final Map<AccountName, Double> acceptedByRemovedLimiters = new HashMap<>();

	private double reachableShare = 1;

	private final Set<Exchange> inProgress = new LinkedHashSet<>();

	private final Set<StreamResumption> searches = new LinkedHashSet<>();

	/** When the process ends, or {@code null} if it is not shutting down. */
	private @Nullable Long processEndsAt;

	/** Whether no request is accepted any more. */
	private boolean ended;

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
	 * @param moves the codec of the calls that move streams
	 */
	public RequestDispatcher(EventLoop eventLoop, MonotonicClock clock, InstantSource wallClock, RandomGenerator random,
			HeaderCodec headerCodec, ConnectionPool connections, ServingEndpoints endpoints,
			EndpointFreshness freshness, PlacementRule placement, Meters meters, RequestLog requestLog,
			RetryBudgets retryBudgets, RequestQuarantine quarantine, StreamOrigins streamOrigins,
			StreamMoveCodec moves) {
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
		this.retryBudgets = retryBudgets;
		this.quarantine = quarantine;
		this.streamOrigins = streamOrigins;
		this.migrations = new StreamMigrations(eventLoop, connections, moves, headerCodec);
	}

	/**
	 * Applies a configuration and starts the requests that were deferred for it.
	 * @param newConfiguration the configuration
	 */
	public void configure(Configuration newConfiguration) {
		this.configuration = newConfiguration;
		for (AccountName name : Set.copyOf(this.quotaLimiters.keySet())) {
			QuotaLimiter limiter = Objects.requireNonNull(this.quotaLimiters.get(name));
			TokenQuota quota = newConfiguration.quota(name);
			if (quota == null) {
				this.quotaLimiters.remove(name);
				this.acceptedByRemovedLimiters.merge(name, limiter.used(), Double::sum);
			}
			else if (!limiter.quota().equals(quota)) {
				this.quotaLimiters.put(name, limiter.withQuota(quota, this.clock.nanos()));
			}
		}
		newConfiguration.accounts().forEach((account) -> limiter(account.name()));
		startDeferred();
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
		this.reachableShare = fleet.reachableShare();
		this.quotaLimiters.values().forEach((limiter) -> limiter.setReachableShare(this.reachableShare));
	}

	/**
	 * Adds the quota usage of another gateway.
	 * @param used the usage since its last report, by client account
	 */
	public void addRemoteUsage(Map<AccountName, Double> used) {
		used.forEach((name, amount) -> {
			QuotaLimiter limiter = limiter(name);
			if (limiter != null) {
				limiter.deductRemoteUsage(amount, this.clock.nanos());
			}
		});
	}

	/**
	 * Returns the quota usage accepted by this gateway since its start.
	 * @return the totals by client account
	 */
	public Map<AccountName, Double> quotaUsage() {
		Map<AccountName, Double> sums = new HashMap<>(this.acceptedByRemovedLimiters);
		this.quotaLimiters.forEach((name, limiter) -> sums.merge(name, limiter.used(), Double::sum));
		return sums;
	}

	private @Nullable QuotaLimiter limiter(AccountName name) {
		QuotaLimiter existing = this.quotaLimiters.get(name);
		if (existing != null || this.configuration == null) {
			return existing;
		}
		TokenQuota quota = this.configuration.quota(name);
		if (quota == null) {
			return null;
		}
		QuotaLimiter created = new QuotaLimiter(quota, this.clock.nanos());
		created.setReachableShare(this.reachableShare);
		this.quotaLimiters.put(name, created);
		return created;
	}

	/**
	 * Starts the shutdown: only requests that end before the process are accepted.
	 * @param endsAt when the process ends
	 */
	public void stop(long endsAt) {
		this.processEndsAt = endsAt;
	}

	/**
	 * Answers all requests that are in progress, since the process ends. From now on each
	 * request is rejected.
	 */
	public void endRequests() {
		this.ended = true;
		startDeferred();
		List.copyOf(this.searches).forEach(StreamResumption::processEnds);
		List.copyOf(this.inProgress).forEach(Exchange::processEnds);
	}

	private void startDeferred() {
		List<DeferredRequest> ready = List.copyOf(this.deferred);
		this.deferred.clear();
		ready.forEach(DeferredRequest::start);
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number
	 */
	public int inProgress() {
		return this.inProgress.size();
	}

	InFlightRequest begin(CallerConnection caller, CallerRequest request) {
		if (this.ended) {
			reject(caller, this.headerCodec.readCaller(request.head().headers()), ErrorKind.STOPPING,
					RequestRouter.RETRY_AFTER);
			return InFlightRequest.NO_OP;
		}
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
		RoutingDecision decision = router(request).decide(request.head().headers().get("host"), request.head().uri(),
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
		return router(request).decideResumption(request.head().headers().get("host"), request.head().uri(),
				requestHeaders, streamOrigin);
	}

	private RequestRouter router(CallerRequest request) {
		Long endsAt = this.processEndsAt;
		return new RequestRouter(this.configuration, (endsAt != null)
				? Duration.ofNanos(endsAt - request.arrivedAt()).minus(Exchange.RESPONSE_GRACE) : null);
	}

	InFlightRequest begin(CallerConnection caller, CallerRequest request, CallerHeaders requestHeaders,
			RoutingDecision.Accepted accepted, @Nullable KnownOrigin streamOrigin) {
		RequestLog.RejectedRequest rejection = chargeQuota(accepted.account(), requestHeaders);
		if (rejection != null) {
			reject(caller, rejection);
			return InFlightRequest.NO_OP;
		}
		this.retryBudgets.recordRequest(accepted.service().name(), this.clock.nanos());
		Exchange exchange = new Exchange(this, caller, request, requestHeaders, accepted, streamOrigin);
		this.inProgress.add(exchange);
		exchange.begin();
		return exchange;
	}

	private RequestLog.@Nullable RejectedRequest chargeQuota(@Nullable ClientAccount account,
			CallerHeaders requestHeaders) {
		QuotaLimiter limiter = (account != null) ? limiter(account.name()) : null;
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

	void searchBegins(StreamResumption search) {
		this.searches.add(search);
	}

	void searchEnds(StreamResumption search) {
		this.searches.remove(search);
	}

	void ended(Exchange exchange) {
		this.inProgress.remove(exchange);
	}

	RetryBudgets retryBudgets() {
		return this.retryBudgets;
	}

	ConnectionLimit connectionLimit(Service service) {
		return this.connectionAllowance.limit(service);
	}

	// An endpoint without a free connection remains the owner and the source of prompts.
	@Nullable Placement choosePlacement(Service service, List<Endpoint> candidates, Prompt prompt, Duration latencyTarget,
			Set<EndpointId> tried) {
		int maximum = connectionLimit(service).open();
		Set<EndpointId> excluded = new HashSet<>(tried);
		for (Endpoint candidate : candidates) {
			if (candidate.inFlight() >= maximum) {
				excluded.add(candidate.id());
			}
		}
		return this.placement.choose(candidates, prompt, latencyTarget, excluded, this.clock.nanos());
	}

	long configurationVersion() {
		return (this.configuration != null) ? this.configuration.version() : 0;
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

	EndpointFreshness freshness() {
		return this.freshness;
	}

	ServingEndpoints endpoints() {
		return this.endpoints;
	}

	PlacementRule placement() {
		return this.placement;
	}

	BodyMemory responseBuffers() {
		return this.responseBuffers;
	}

	RequestQuarantine quarantine() {
		return this.quarantine;
	}

	StreamOrigins streamOrigins() {
		return this.streamOrigins;
	}

	StreamMigrations migrations() {
		return this.migrations;
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
