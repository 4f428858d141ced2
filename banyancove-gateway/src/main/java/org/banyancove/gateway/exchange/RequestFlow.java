package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.banyancove.core.AccountName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.retry.RetryBudget;
import org.banyancove.gateway.admission.AdmissionRule;
import org.banyancove.gateway.admission.QuotaLimiter;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.configuration.TokenQuota;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.rollout.ServingEndpoints;
import org.banyancove.gateway.shared.CallerHeaders;
import org.banyancove.gateway.shared.HeaderCodec;
import org.banyancove.gateway.shared.SteadyClock;
import org.jspecify.annotations.Nullable;

/**
 * Accepts callers' requests in and keeps what all of them share.
 */
public final class RequestFlow {

	/**
	 * The part of the fleet's retry budget that is used, so that gateways that count
	 * differently, or start anew, stay within it together.
	 */
	private static final double SHARE_OF_BUDGET = 0.7;

	/**
	 * Requests that wait for the first configuration at most: a second's worth at a
	 * gateway's greatest load.
	 */
	private static final int MAXIMUM_HELD_REQUESTS = 256;

	private final EventLoop eventLoop;

	private final SteadyClock clock;

	private final InstantSource wallClock;

	private final RandomGenerator random;

	private final HeaderCodec headerCodec;

	private final ClientConnections connections;

	private final ServingEndpoints endpoints;

	private final BooleanSupplier endpointsCurrent;

	private final PlacementRule placement;

	private final Meters meteredBy;

	private final RequestLog requestLog;

	private final RetryLimits retryLimits;

	private final AdmissionRule admission = new AdmissionRule();

	private final Map<AccountName, QuotaLimiter> quotaLimiters = new HashMap<>();

	private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

	private final List<HeldRequest> held = new ArrayList<>();

	private @Nullable Configuration configuration;

	private final Map<AccountName, Double> acceptedBefore = new HashMap<>();

	private int gateways = 1;

	private double reachableShare = 1;

	private DrainPhase phase = DrainPhase.ALL;

	private int inProgress;

	/**
	 * Creates the flow.
	 * @param eventLoop the loop that everything runs on
	 * @param clock the steady clock
	 * @param wallClock the time of day
	 * @param random chooses among a route's services
	 * @param headerCodec reads and writes headers
	 * @param connections the connections to endpoints
	 * @param endpoints the endpoints
	 * @param endpointsCurrent whether they are known recently enough
	 * @param placement chooses among them
	 * @param meteredBy counts what ran and what work it was
	 * @param requestLog records what became of requests
	 * @param retryLimits the fleet's retry budget
	 */
	public RequestFlow(EventLoop eventLoop, SteadyClock clock, InstantSource wallClock, RandomGenerator random,
			HeaderCodec headerCodec, ClientConnections connections, ServingEndpoints endpoints,
			BooleanSupplier endpointsCurrent, PlacementRule placement, Meters meteredBy, RequestLog requestLog,
			RetryLimits retryLimits) {
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.wallClock = wallClock;
		this.random = random;
		this.headerCodec = headerCodec;
		this.connections = connections;
		this.endpoints = endpoints;
		this.endpointsCurrent = endpointsCurrent;
		this.placement = placement;
		this.meteredBy = meteredBy;
		this.requestLog = requestLog;
		this.retryLimits = retryLimits;
	}

	/**
	 * Records a configuration.
	 * @param newest the configuration
	 */
	public void configure(Configuration newest) {
		this.configuration = newest;
		for (AccountName name : Set.copyOf(this.quotaLimiters.keySet())) {
			QuotaLimiter limiter = Objects.requireNonNull(this.quotaLimiters.get(name));
			TokenQuota quota = quota(name, newest);
			if (quota == null) {
				this.quotaLimiters.remove(name);
				this.acceptedBefore.merge(name, limiter.used(), Double::sum);
			}
			else if (!limiter.quota().equals(quota)) {
				this.quotaLimiters.put(name, limiter.changedTo(quota, this.clock.nanos()));
			}
		}
		newest.accounts().forEach((account) -> limiter(account.name()));
		this.held.forEach(HeldRequest::release);
		this.held.clear();
	}

	private static @Nullable TokenQuota quota(AccountName name, Configuration configuration) {
		for (ClientAccount account : configuration.accounts()) {
			if (account.name().equals(name)) {
				return account.quota();
			}
		}
		return null;
	}

	/**
	 * Records how much of the fleet there is.
	 * @param newGateways the gateways, this one included
	 * @param newReachableShare the part of them that is reachable now
	 */
	public void fleet(int newGateways, double newReachableShare) {
		this.gateways = newGateways;
		this.reachableShare = newReachableShare;
		this.quotaLimiters.values().forEach((limiter) -> limiter.reachable(newReachableShare));
		this.budgets.values().forEach((budget) -> budget.changeMostSaved(mostSavedRetries()));
	}

	/**
	 * Records what another gateway accepted.
	 * @param used what it accepted since its last report, by client account
	 */
	public void remoteUsage(Map<AccountName, Double> used) {
		used.forEach((name, amount) -> {
			QuotaLimiter limiter = limiter(name);
			if (limiter != null) {
				limiter.remoteUsage(amount, this.clock.nanos());
			}
		});
	}

	/**
	 * Returns all that this gateway accepted.
	 * @return the sums by client account
	 */
	public Map<AccountName, Double> used() {
		Map<AccountName, Double> sums = new HashMap<>(this.acceptedBefore);
		this.quotaLimiters.forEach((name, limiter) -> sums.merge(name, limiter.used(), Double::sum));
		return sums;
	}

	private @Nullable QuotaLimiter limiter(AccountName name) {
		QuotaLimiter known = this.quotaLimiters.get(name);
		if (known != null || this.configuration == null) {
			return known;
		}
		TokenQuota quota = quota(name, this.configuration);
		if (quota == null) {
			return null;
		}
		QuotaLimiter created = new QuotaLimiter(quota, this.clock.nanos());
		created.reachable(this.reachableShare);
		this.quotaLimiters.put(name, created);
		return created;
	}

	/**
	 * Changes which requests are accepted.
	 * @param newPhase which ones
	 */
	public void drain(DrainPhase newPhase) {
		this.phase = newPhase;
	}

	/**
	 * Returns the requests that are being answered.
	 * @return the number
	 */
	public int inProgress() {
		return this.inProgress;
	}

	ResponseSubscription begin(CallerConnection caller, CallerRequest request) {
		if (this.configuration == null && this.held.size() < MAXIMUM_HELD_REQUESTS) {
			return hold(caller, request);
		}
		return beginNow(caller, request);
	}

	private ResponseSubscription hold(CallerConnection caller, CallerRequest request) {
		HeldRequest holding = new HeldRequest(() -> beginNow(caller, request));
		this.held.add(holding);
		Duration deadline = this.headerCodec.readCaller(request.head().headers()).deadline();
		this.eventLoop.schedule(() -> {
			this.held.remove(holding);
			holding.release();
		}, this.admission.maximumStartupWait(deadline).toMillis(), TimeUnit.MILLISECONDS);
		return holding;
	}

	private ResponseSubscription beginNow(CallerConnection caller, CallerRequest request) {
		CallerHeaders requestHeaders = this.headerCodec.readCaller(request.head().headers());
		RequestRouter router = new RequestRouter(this.configuration, this.phase);
		RoutingDecision decision = router.decide(request.head().headers().get("host"), request.head().uri(),
				requestHeaders, this.random.nextDouble());
		return switch (decision) {
			case RoutingDecision.Rejected rejected -> {
				reject(caller, new RequestLog.RejectionFacts(requestHeaders.requestId(), rejected.kind(),
						rejected.retryAfter(), null, null, version()));
				yield ResponseSubscription.BEGUN;
			}
			case RoutingDecision.Accepted accepted -> begin(caller, request, requestHeaders, accepted);
		};
	}

	private ResponseSubscription begin(CallerConnection caller, CallerRequest request, CallerHeaders requestHeaders,
			RoutingDecision.Accepted accepted) {
		RequestLog.RejectionFacts overLimit = chargeQuota(accepted.account(), requestHeaders);
		if (overLimit != null) {
			reject(caller, overLimit);
			return ResponseSubscription.BEGUN;
		}
		this.inProgress++;
		budget(accepted.service().name()).firstAttempt();
		Exchange exchange = new Exchange(this, caller, request, requestHeaders, accepted);
		exchange.begin();
		return exchange;
	}

	private RequestLog.@Nullable RejectionFacts chargeQuota(@Nullable ClientAccount account,
			CallerHeaders requestHeaders) {
		QuotaLimiter limiter = (account != null) ? limiter(account.name()) : null;
		if (account == null || limiter == null || limiter
			.tryAcquire(limiter.quota().costOf(requestHeaders.prompt().totalTokens()), this.clock.nanos())) {
			return null;
		}
		return new RequestLog.RejectionFacts(requestHeaders.requestId(), ErrorKind.ACCOUNT_OVER_LIMIT,
				limiter.retryAfter(), account.name(), Math.round(limiter.available()), version());
	}

	private void reject(CallerConnection caller, RequestLog.RejectionFacts facts) {
		this.requestLog.rejected(facts);
		caller.answer(FailureAnswer.of(facts.kind(), facts.retryAfter()));
	}

	void rejectedUnread(ErrorKind kind) {
		this.requestLog.rejected(new RequestLog.RejectionFacts(null, kind, null, null, null, version()));
	}

	void ended() {
		this.inProgress--;
	}

	RetryBudget budget(ServiceName service) {
		return this.budgets.computeIfAbsent(service,
				(name) -> new RetryBudget(this.retryLimits.ratio() * SHARE_OF_BUDGET, mostSavedRetries() / 2,
						mostSavedRetries()));
	}

	private double mostSavedRetries() {
		return this.retryLimits.burst() * SHARE_OF_BUDGET / this.gateways;
	}

	// A gateway's part of the connections that an endpoint accepts from all.
	int connectionShare(Service service) {
		return Math.max(2, (int) (service.maxConnections() * 0.9 / this.gateways));
	}

	long version() {
		return (this.configuration != null) ? this.configuration.version() : 0;
	}

	EventLoop eventLoop() {
		return this.eventLoop;
	}

	SteadyClock clock() {
		return this.clock;
	}

	InstantSource wallClock() {
		return this.wallClock;
	}

	double draw() {
		return this.random.nextDouble();
	}

	HeaderCodec headerCodec() {
		return this.headerCodec;
	}

	ClientConnections connections() {
		return this.connections;
	}

	boolean endpointsCurrent() {
		return this.endpointsCurrent.getAsBoolean();
	}

	ServingEndpoints endpoints() {
		return this.endpoints;
	}

	PlacementRule placement() {
		return this.placement;
	}

	AdmissionRule admission() {
		return this.admission;
	}

	Meters meteredBy() {
		return this.meteredBy;
	}

	RequestLog requestLog() {
		return this.requestLog;
	}

}
