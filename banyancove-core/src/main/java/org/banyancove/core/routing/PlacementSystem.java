package org.banyancove.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.random.RandomGenerator;

import org.banyancove.core.Invariant;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.profile.PlacementPolicyName;
import org.jspecify.annotations.Nullable;

/**
 * Places requests on endpoints by the policy of their profile.
 * <p>
 * Confined to the tick loop; not thread-safe.
 */
public final class PlacementSystem {

	private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(100);

	private final EndpointTable table;

	private final InstantSource clock;

	private final PlacementPolicy costAtTarget;

	private final PlacementPolicy roundRobin;

	private final PlacementPolicy leastInFlight;

	private final PlacementPolicy twoChoices;

	/**
	 * Creates the system with the default settings.
	 * @param table the endpoints
	 * @param clock the clock
	 * @param random the source of random numbers for selecting endpoints
	 */
	public PlacementSystem(EndpointTable table, InstantSource clock, RandomGenerator random) {
		this(table, clock, random, PlacementSettings.DEFAULT);
	}

	/**
	 * Creates the system.
	 * @param table the endpoints
	 * @param clock the clock
	 * @param random the source of random numbers for selecting endpoints
	 * @param settings the settings of the cost-based placement
	 */
	public PlacementSystem(EndpointTable table, InstantSource clock, RandomGenerator random,
			PlacementSettings settings) {
		this.table = table;
		this.clock = clock;
		CandidateSelector selector = new CandidateSelector(random);
		Candidates candidates = new Candidates();
		this.costAtTarget = new CostAtTargetPolicy(selector, candidates, settings);
		this.roundRobin = new RoundRobinPolicy();
		this.leastInFlight = new LeastInFlightPolicy(selector, candidates);
		this.twoChoices = new TwoChoicesPolicy(random);
	}

	/**
	 * Places a request. The caller must call {@link EndpointTable#attemptStarted} when it
	 * sends the attempt.
	 * @param request the request
	 * @return the endpoint, or the reason for the refusal
	 */
	public PlacementDecision place(PlacementRequest request) {
		Instant instant = this.clock.instant();
		double now = Seconds.of(instant);
		ServiceEndpoints endpoints = this.table.service(request.service());
		Choice choice = policy(request.profile().policy()).choose(request, endpoints, now);
		if (choice == null) {
			return new PlacementDecision.Refused(ErrorKind.NO_ENDPOINT,
					this.table.retryAfterNoEndpoint(request.service(), request.profile(), instant));
		}
		Endpoint endpoint = choice.endpoint();
		Invariant.check(endpoint.state() == EndpointState.LIVE, "work placed on endpoint %s, which is %s",
				endpoint.id(), endpoint.state());
		Invariant.check(!request.excluded().contains(endpoint.id()), "request %s placed on its excluded endpoint %s",
				request.request(), endpoint.id());
		double uncachedTokens = Math.max(1, request.promptTokens() - choice.cachedTokens());
		double firstToken = endpoint.predictFirstToken(uncachedTokens);
		Duration retryAfter = retryAfterIfTooLate(request, firstToken, now);
		if (retryAfter != null) {
			return new PlacementDecision.Refused(ErrorKind.OVERLOADED, retryAfter);
		}
		return new PlacementDecision.Placed(endpoint.id(), Seconds.toDuration(firstToken),
				Seconds.toDuration(endpoint.predictPerToken()), (int) Math.round(uncachedTokens));
	}

	private PlacementPolicy policy(PlacementPolicyName name) {
		return switch (name) {
			case COST_AT_TARGET -> this.costAtTarget;
			case ROUND_ROBIN -> this.roundRobin;
			case LEAST_IN_FLIGHT -> this.leastInFlight;
			case TWO_CHOICES -> this.twoChoices;
		};
	}

	private static @Nullable Duration retryAfterIfTooLate(PlacementRequest request, double firstToken, double now) {
		// Returns the retry delay if the first token is predicted after the deadline: the
		// time by which the backlog exceeds the target.
		double waitedSeconds = Math.max(0, now - Seconds.of(request.acceptedAt()));
		if (waitedSeconds + firstToken <= Seconds.of(request.profile().deadline())) {
			return null;
		}
		double excessSeconds = firstToken - Seconds.of(request.profile().firstTokenTarget());
		return atLeastMinimum(Seconds.toDuration(Math.max(0, excessSeconds)));
	}

	private static Duration atLeastMinimum(Duration duration) {
		return ((duration.compareTo(MINIMUM_RETRY_AFTER) < 0) ? MINIMUM_RETRY_AFTER : duration);
	}

}
