package org.banyancove.gateway.endpoint;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.SortedSet;

import org.banyancove.core.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * Divides the endpoints of a service between classes of requests, as in size-interval
 * task assignment.
 * <p>
 * A prefill of a long prompt takes less time than a load report needs to reach the other
 * gateways. Placement by load alone therefore sends short prompts behind long ones while
 * most endpoints are idle. All gateways derive the same sets from the endpoints'
 * identifiers. The division applies only if the endpoints announce a slowdown.
 * <p>
 * Times are nanoseconds of the monotonic clock. Confined to the event loop thread.
 */
public final class EndpointPartition {

	/** Time constant of the averages, in ns. */
	private static final double DECAY_NANOS = 10e9;

	/** Requests after which the averages are used. */
	private static final int MINIMUM_SAMPLES = 50;

	/** Endpoints below which a set would be too small to balance load in it. */
	private static final int MINIMUM_ENDPOINTS = 6;

	/** Length of a large prompt relative to the mean of the longer targets. */
	private static final double LARGE_PROMPT_FACTOR = 2.5;

	/** Share of the endpoints for the shortest target while no averages are known. */
	private static final double INITIAL_SHORTEST_SHARE = 0.4;

	/** Share of the endpoints for large prompts while no averages are known. */
	private static final double INITIAL_LARGE_SHARE = 0.2;

	/** Bounds of the shares are multiples of this. */
	private static final double SHARE_STEP = 0.1;

	/**
	 * Distance from the present bound at which it changes. Each change moves the owners
	 * of cached prefixes, so that a bound between two steps must not alternate.
	 */
	private static final double SHARE_HYSTERESIS = 0.75 * SHARE_STEP;

	/** Maximum mean prefill of the shortest target relative to that of the others. */
	private static final double MAXIMUM_PREFILL_RATIO = 0.5;

	/** Part of the shortest target that work of another class may take. */
	private static final double SHARED_TARGET_RATIO = 0.5;

	private final ClassDemand shortestDemand = new ClassDemand();

	private final ClassDemand longerDemand = new ClassDemand();

	private final ClassDemand largeDemand = new ClassDemand();

	private @Nullable Duration shortestTarget;

	private boolean severalTargets;

	private boolean slowdownAnnounced;

	private double shortestTargetBound = INITIAL_SHORTEST_SHARE;

	private double largePromptBound = 1 - INITIAL_LARGE_SHARE;

	private double largePromptTokens = Double.POSITIVE_INFINITY;

	private long samples;

	/**
	 * Sets the latency targets of the service's routes.
	 * @param targets the targets, the shortest first
	 */
	void configure(SortedSet<Duration> targets) {
		this.shortestTarget = targets.isEmpty() ? null : targets.first();
		this.severalTargets = targets.size() > 1;
	}

	/** Records that an endpoint of the service announced a slowdown. */
	void recordSlowdownAnnounced() {
		this.slowdownAnnounced = true;
	}

	/**
	 * Returns whether an endpoint of the service announced a slowdown.
	 * @return whether the endpoints share their machines
	 */
	public boolean slowdownAnnounced() {
		return this.slowdownAnnounced;
	}

	/**
	 * Returns whether the endpoints are divided.
	 * @param endpoints the number of endpoints of the service
	 * @return whether a request should prefer the endpoints of its class
	 */
	boolean applies(int endpoints) {
		return this.slowdownAnnounced && endpoints >= MINIMUM_ENDPOINTS;
	}

	/**
	 * Returns the class of a request.
	 * @param latencyTarget the latency target of its route
	 * @param prompt its prompt
	 * @return the class
	 */
	RequestClass classOf(Duration latencyTarget, Prompt prompt) {
		if (dividesByTarget() && hasShortestTarget(latencyTarget)) {
			return RequestClass.SHORTEST_TARGET;
		}
		return (unsharedTokens(prompt) > this.largePromptTokens) ? RequestClass.LARGE_PROMPT
				: RequestClass.LONGER_TARGET;
	}

	private boolean hasShortestTarget(Duration latencyTarget) {
		return this.shortestTarget != null && latencyTarget.compareTo(this.shortestTarget) <= 0;
	}

	private boolean dividesByTarget() {
		return this.severalTargets && (this.samples < MINIMUM_SAMPLES
				|| this.shortestDemand.meanMillis() <= MAXIMUM_PREFILL_RATIO * this.longerDemand.meanMillis());
	}

	// The shared parts are cached at their owner.
	private static int unsharedTokens(Prompt prompt) {
		return Math.max(0, prompt.inputTokens() - prompt.sharedTokens());
	}

	/**
	 * Returns the class whose requests prefer an endpoint.
	 * @param endpoint the endpoint's identifier
	 * @return the class
	 */
	RequestClass preferredBy(EndpointId endpoint) {
		double position = (RendezvousHash.weight(0, endpoint.value()) >>> 1) / (double) Long.MAX_VALUE;
		if (dividesByTarget() && position < this.shortestTargetBound) {
			return RequestClass.SHORTEST_TARGET;
		}
		return (position < this.largePromptBound) ? RequestClass.LONGER_TARGET : RequestClass.LARGE_PROMPT;
	}

	/**
	 * Returns the cost of an endpoint that another class prefers. Work then spills over
	 * only while the endpoints of its own class are busy for longer.
	 * @param requestClass the request's class
	 * @param preferredBy the class that prefers the endpoint
	 * @return the cost in ms
	 */
	double penaltyMillis(RequestClass requestClass, RequestClass preferredBy) {
		return (requestClass.compareTo(preferredBy) > 0) ? sharedMillis() : demand(preferredBy).meanMillis();
	}

	/**
	 * Returns whether a request may be sent to an endpoint that another class prefers.
	 * @param requestClass the request's class
	 * @param preferredBy the class that prefers the endpoint
	 * @param predictedMillis the predicted latency there, in ms
	 * @return {@code false} if the requests that prefer it would miss their target
	 */
	boolean permitsSpillover(RequestClass requestClass, RequestClass preferredBy, double predictedMillis) {
		return requestClass.compareTo(preferredBy) < 0 || predictedMillis <= sharedMillis();
	}

	private double sharedMillis() {
		Duration target = this.shortestTarget;
		return (target != null) ? target.toNanos() / 1e6 * SHARED_TARGET_RATIO : 0;
	}

	/**
	 * Records a request that was placed.
	 * @param latencyTarget the latency target of its route
	 * @param prompt its prompt
	 * @param prefillMillis the time of its prefill, in ms
	 * @param now the current time
	 */
	void record(Duration latencyTarget, Prompt prompt, double prefillMillis, long now) {
		RequestClass requestClass = (this.severalTargets && hasShortestTarget(latencyTarget))
				? RequestClass.SHORTEST_TARGET : classOf(latencyTarget, prompt);
		this.samples++;
		this.shortestDemand.decay(now);
		this.longerDemand.decay(now);
		this.largeDemand.decay(now);
		demand(requestClass).add(prefillMillis, unsharedTokens(prompt));
		if (this.samples >= MINIMUM_SAMPLES) {
			updateBounds();
		}
	}

	private ClassDemand demand(RequestClass requestClass) {
		return switch (requestClass) {
			case SHORTEST_TARGET -> this.shortestDemand;
			case LONGER_TARGET -> this.longerDemand;
			case LARGE_PROMPT -> this.largeDemand;
		};
	}

	private void updateBounds() {
		double total = this.shortestDemand.millis + this.longerDemand.millis + this.largeDemand.millis;
		if (total <= 0) {
			return;
		}
		this.largePromptTokens = LARGE_PROMPT_FACTOR * (this.longerDemand.tokens + this.largeDemand.tokens)
				/ Math.max(1, this.longerDemand.weight + this.largeDemand.weight);
		double roots = this.shortestDemand.root() + this.longerDemand.root() + this.largeDemand.root();
		this.shortestTargetBound = adjusted(this.shortestTargetBound, needed(this.shortestDemand, total, roots));
		this.largePromptBound = adjusted(this.largePromptBound, 1 - needed(this.largeDemand, total, roots));
	}

	// Long prompts need more idle endpoints than their part of the engine time, since a
	// prompt that waits for one of them waits longer: half of the endpoints are divided
	// by
	// engine time, half by its square root weighed with the mean prefill.
	private static double needed(ClassDemand demand, double total, double roots) {
		return (demand.millis / total + demand.root() / roots) / 2;
	}

	private static double adjusted(double bound, double needed) {
		return (Math.abs(needed - bound) > SHARE_HYSTERESIS)
				? Math.clamp(Math.round(needed / SHARE_STEP) * SHARE_STEP, SHARE_STEP, 1 - SHARE_STEP) : bound;
	}

	/**
	 * Returns the share of the endpoints that a class prefers.
	 * @param requestClass the class
	 * @return the share, from 0 to 1
	 */
	double share(RequestClass requestClass) {
		double shortest = dividesByTarget() ? this.shortestTargetBound : 0;
		return switch (requestClass) {
			case SHORTEST_TARGET -> shortest;
			case LONGER_TARGET -> Math.max(0, this.largePromptBound - shortest);
			case LARGE_PROMPT -> 1 - Math.max(this.largePromptBound, shortest);
		};
	}

	/**
	 * Returns the share of the endpoints that each class prefers.
	 * @return the shares, from 0 to 1, by class
	 */
	public Map<RequestClass, Double> shares() {
		Map<RequestClass, Double> shares = new EnumMap<>(RequestClass.class);
		for (RequestClass requestClass : RequestClass.values()) {
			shares.put(requestClass, share(requestClass));
		}
		return shares;
	}

	private static final class ClassDemand {

		private double millis;

		private double tokens;

		private double weight;

		private long decayedAt;

		void decay(long now) {
			double factor = Math.exp((this.decayedAt - now) / DECAY_NANOS);
			this.millis *= factor;
			this.tokens *= factor;
			this.weight *= factor;
			this.decayedAt = now;
		}

		void add(double prefillMillis, int promptTokens) {
			this.millis += prefillMillis;
			this.tokens += promptTokens;
			this.weight++;
		}

		double root() {
			return Math.sqrt(this.millis * meanMillis());
		}

		double meanMillis() {
			return (this.weight > 0) ? this.millis / this.weight : 0;
		}

	}

}
