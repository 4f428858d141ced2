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
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.banyancove.core.AccountName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.retry.RetryBudget;
import org.banyancove.gateway.admission.AdmissionRule;
import org.banyancove.gateway.admission.AllowanceMeter;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.configuration.TokenAllowance;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.PlacementRule;
import org.banyancove.gateway.shared.CallerHeaders;
import org.banyancove.gateway.shared.HeaderWords;
import org.banyancove.gateway.shared.SteadyClock;
import org.jspecify.annotations.Nullable;

/**
 * Takes callers' requests in and keeps what all of them share.
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
	private static final int MOST_HELD = 256;

	private final EventLoop eventLoop;

	private final SteadyClock clock;

	private final InstantSource wallClock;

	private final RandomGenerator random;

	private final HeaderWords words;

	private final ClientConnections connections;

	private final EndpointTable endpoints;

	private final PlacementRule placement;

	private final Meters meteredBy;

	private final RequestLog requestLog;

	private final RetryLimits retryLimits;

	private final AdmissionRule admission = new AdmissionRule();

	private final Map<AccountName, AllowanceMeter> meters = new HashMap<>();

	private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

	private final List<HeldRequest> held = new ArrayList<>();

	private @Nullable Configuration configuration;

	private final Map<AccountName, Double> usedBefore = new HashMap<>();

	private int gateways = 1;

	private double heardShare = 1;

	private TakingPhase phase = TakingPhase.ALL;

	private int inProgress;

	/**
	 * Creates the flow.
	 * @param eventLoop the loop that everything runs on
	 * @param clock the steady clock
	 * @param wallClock the time of day
	 * @param random chooses among a route's services
	 * @param words the headers' words
	 * @param connections the connections to endpoints
	 * @param endpoints the endpoints
	 * @param placement chooses among them
	 * @param meteredBy counts what ran and what work it was
	 * @param requestLog tells what became of requests
	 * @param retryLimits the fleet's retry budget
	 */
	public RequestFlow(EventLoop eventLoop, SteadyClock clock, InstantSource wallClock, RandomGenerator random,
			HeaderWords words, ClientConnections connections, EndpointTable endpoints, PlacementRule placement,
			Meters meteredBy, RequestLog requestLog, RetryLimits retryLimits) {
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.wallClock = wallClock;
		this.random = random;
		this.words = words;
		this.connections = connections;
		this.endpoints = endpoints;
		this.placement = placement;
		this.meteredBy = meteredBy;
		this.requestLog = requestLog;
		this.retryLimits = retryLimits;
	}

	/**
	 * Takes in a configuration.
	 * @param newest the configuration
	 */
	public void configure(Configuration newest) {
		this.configuration = newest;
		for (AccountName name : Set.copyOf(this.meters.keySet())) {
			AllowanceMeter meter = Objects.requireNonNull(this.meters.get(name));
			TokenAllowance allowance = allowance(name, newest);
			if (allowance == null) {
				this.meters.remove(name);
				this.usedBefore.merge(name, meter.used(), Double::sum);
			}
			else if (!meter.allowance().equals(allowance)) {
				this.meters.put(name, meter.changedTo(allowance, this.clock.nanos()));
			}
		}
		newest.accounts().forEach((account) -> meter(account.name()));
		this.held.forEach(HeldRequest::release);
		this.held.clear();
	}

	private static @Nullable TokenAllowance allowance(AccountName name, Configuration configuration) {
		for (ClientAccount account : configuration.accounts()) {
			if (account.name().equals(name)) {
				return account.allowance();
			}
		}
		return null;
	}

	/**
	 * Takes in how much of the fleet there is.
	 * @param newGateways the gateways, this one included
	 * @param newHeardShare the part of them that is heard now
	 */
	public void fleet(int newGateways, double newHeardShare) {
		this.gateways = newGateways;
		this.heardShare = newHeardShare;
		this.meters.values().forEach((meter) -> meter.heard(newHeardShare));
		this.budgets.values().forEach((budget) -> budget.changeMostSaved(mostSavedRetries()));
	}

	/**
	 * Takes in what another gateway let in.
	 * @param used what it let in since it told last, by client account
	 */
	public void usedElsewhere(Map<AccountName, Double> used) {
		used.forEach((name, amount) -> {
			AllowanceMeter meter = meter(name);
			if (meter != null) {
				meter.usedElsewhere(amount, this.clock.nanos());
			}
		});
	}

	/**
	 * Returns all that this gateway let in.
	 * @return the sums by client account
	 */
	public Map<AccountName, Double> used() {
		Map<AccountName, Double> sums = new HashMap<>(this.usedBefore);
		this.meters.forEach((name, meter) -> sums.merge(name, meter.used(), Double::sum));
		return sums;
	}

	private @Nullable AllowanceMeter meter(AccountName name) {
		AllowanceMeter known = this.meters.get(name);
		if (known != null || this.configuration == null) {
			return known;
		}
		TokenAllowance allowance = allowance(name, this.configuration);
		if (allowance == null) {
			return null;
		}
		AllowanceMeter created = new AllowanceMeter(allowance, this.clock.nanos());
		created.heard(this.heardShare);
		this.meters.put(name, created);
		return created;
	}

	/**
	 * Changes which requests are taken.
	 * @param newPhase which ones
	 */
	public void take(TakingPhase newPhase) {
		this.phase = newPhase;
	}

	/**
	 * Returns the requests that are being answered.
	 * @return the number
	 */
	public int inProgress() {
		return this.inProgress;
	}

	CallerAnswering begin(CallerConnection caller, CallerRequest request) {
		if (this.configuration == null && this.held.size() < MOST_HELD) {
			return hold(caller, request);
		}
		return beginNow(caller, request);
	}

	private CallerAnswering hold(CallerConnection caller, CallerRequest request) {
		HeldRequest holding = new HeldRequest(() -> beginNow(caller, request));
		this.held.add(holding);
		Duration deadline = this.words.readCaller(request.head().headers()).deadline();
		this.eventLoop.schedule(() -> {
			this.held.remove(holding);
			holding.release();
		}, this.admission.patienceAtStart(deadline).toMillis(), TimeUnit.MILLISECONDS);
		return holding;
	}

	private CallerAnswering beginNow(CallerConnection caller, CallerRequest request) {
		CallerHeaders said = this.words.readCaller(request.head().headers());
		Intake intake = new Intake(this.configuration, this.phase);
		IntakeDecision decision = intake.decide(request.head().headers().get("host"), request.head().uri(), said,
				this.random.nextDouble());
		return switch (decision) {
			case IntakeDecision.Refused refused -> {
				refuse(caller, new RequestLog.RefusalFacts(said.requestId(), refused.kind(), refused.comeBack(), null,
						null, version()));
				yield CallerAnswering.BEGUN;
			}
			case IntakeDecision.Taken taken -> begin(caller, request, said, taken);
		};
	}

	private CallerAnswering begin(CallerConnection caller, CallerRequest request, CallerHeaders said,
			IntakeDecision.Taken taken) {
		RequestLog.RefusalFacts overLimit = chargeAllowance(taken.account(), said);
		if (overLimit != null) {
			refuse(caller, overLimit);
			return CallerAnswering.BEGUN;
		}
		this.inProgress++;
		budget(taken.service().name()).firstAttempt();
		Exchange exchange = new Exchange(this, caller, request, said, taken);
		exchange.begin();
		return exchange;
	}

	private RequestLog.@Nullable RefusalFacts chargeAllowance(@Nullable ClientAccount account, CallerHeaders said) {
		AllowanceMeter meter = (account != null) ? meter(account.name()) : null;
		if (account == null || meter == null
				|| meter.tryTake(meter.allowance().costOf(said.prompt().totalTokens()), this.clock.nanos())) {
			return null;
		}
		return new RequestLog.RefusalFacts(said.requestId(), ErrorKind.ACCOUNT_OVER_LIMIT, meter.timeToNext(),
				account.name(), Math.round(meter.left()), version());
	}

	private void refuse(CallerConnection caller, RequestLog.RefusalFacts facts) {
		this.requestLog.refused(facts);
		caller.answer(FailureAnswer.of(facts.kind(), facts.comeBack()));
	}

	void refusedUnread(ErrorKind kind) {
		this.requestLog.refused(new RequestLog.RefusalFacts(null, kind, null, null, null, version()));
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

	HeaderWords words() {
		return this.words;
	}

	ClientConnections connections() {
		return this.connections;
	}

	EndpointTable endpoints() {
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
