package org.banyancove.gateway.endpoint;

import java.time.Duration;
import java.util.SortedSet;

import org.banyancove.core.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * Divides the endpoints of a service between the requests with the shortest latency
 * target and the others, as in size-interval task assignment.
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

	/** Share of the endpoints for the shortest target while no averages are known. */
	private static final double INITIAL_SHARE = 0.5;

	private static final double MINIMUM_SHARE = 0.2;

	private static final double MAXIMUM_SHARE = 0.8;

	/** The share is a multiple of this. */
	private static final double SHARE_STEP = 0.1;

	/**
	 * Distance from the present share at which it changes. Each change moves the owners
	 * of cached prefixes, so that a share between two steps must not alternate.
	 */
	private static final double SHARE_HYSTERESIS = 0.75 * SHARE_STEP;

	/** Maximum mean prefill of the shortest target relative to that of the others. */
	private static final double MAXIMUM_PREFILL_RATIO = 0.5;

	/** Part of the shortest target that work of the other class may take. */
	private static final double SHARED_TARGET_RATIO = 0.5;

	private final Average shortest = new Average();

	private final Average longer = new Average();

	private @Nullable Duration shortestTarget;

	private boolean severalTargets;

	private boolean slowdownAnnounced;

	private double share = INITIAL_SHARE;

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
	 * Returns the shortest latency target of the service's routes.
	 * @return the target, or {@code null} if the service has no route
	 */
	public @Nullable Duration shortestTarget() {
		return this.shortestTarget;
	}

	/**
	 * Returns the class of a request.
	 * @param latencyTarget the latency target of its route
	 * @return the class
	 */
	public LatencyClass classOf(Duration latencyTarget) {
		return (this.shortestTarget == null || latencyTarget.compareTo(this.shortestTarget) <= 0)
				? LatencyClass.SHORTEST_TARGET : LatencyClass.LONGER_TARGET;
	}

	/**
	 * Returns whether the endpoints are divided.
	 * @param endpoints the number of endpoints of the service
	 * @return whether a request should prefer the endpoints of its class
	 */
	boolean applies(int endpoints) {
		if (!this.slowdownAnnounced || !this.severalTargets || endpoints < MINIMUM_ENDPOINTS) {
			return false;
		}
		return this.samples < MINIMUM_SAMPLES || this.shortest.mean() <= MAXIMUM_PREFILL_RATIO * this.longer.mean();
	}

	/**
	 * Returns the class whose requests prefer an endpoint.
	 * @param endpoint the endpoint's identifier
	 * @return the class
	 */
	LatencyClass preferredBy(EndpointId endpoint) {
		double position = (RendezvousHash.weight(0, endpoint.value()) >>> 1) / (double) Long.MAX_VALUE;
		return (position < this.share) ? LatencyClass.SHORTEST_TARGET : LatencyClass.LONGER_TARGET;
	}

	/**
	 * Returns the cost of an endpoint that the other class prefers. Work then spills over
	 * only while the endpoints of its own class are busy for longer.
	 * @param latencyClass the request's class
	 * @return the cost in ms
	 */
	double penaltyMillis(LatencyClass latencyClass) {
		return switch (latencyClass) {
			case SHORTEST_TARGET -> this.longer.mean();
			case LONGER_TARGET -> sharedMillis();
		};
	}

	/**
	 * Returns whether a request may be sent to an endpoint that the other class prefers.
	 * @param latencyClass the request's class
	 * @param predictedMillis the predicted latency there, in ms
	 * @return {@code false} if the requests that prefer it would miss their target
	 */
	boolean permitsSpillover(LatencyClass latencyClass, double predictedMillis) {
		return latencyClass == LatencyClass.SHORTEST_TARGET || predictedMillis <= sharedMillis();
	}

	private double sharedMillis() {
		Duration target = this.shortestTarget;
		return (target != null) ? target.toNanos() / 1e6 * SHARED_TARGET_RATIO : 0;
	}

	/**
	 * Records a request that was placed.
	 * @param latencyClass its class
	 * @param prefillMillis the time of its prefill, in ms
	 * @param now the current time
	 */
	void record(LatencyClass latencyClass, double prefillMillis, long now) {
		this.samples++;
		this.shortest.decay(now);
		this.longer.decay(now);
		((latencyClass == LatencyClass.SHORTEST_TARGET) ? this.shortest : this.longer).add(prefillMillis);
		double needed = this.shortest.sum / (this.shortest.sum + this.longer.sum);
		if (this.samples >= MINIMUM_SAMPLES && Math.abs(needed - this.share) > SHARE_HYSTERESIS) {
			this.share = Math.clamp(Math.round(needed / SHARE_STEP) * SHARE_STEP, MINIMUM_SHARE, MAXIMUM_SHARE);
		}
	}

	/**
	 * Returns the share of the endpoints that requests with the shortest target prefer.
	 * @return the share, from 0 to 1
	 */
	public double share() {
		return this.share;
	}

	private static final class Average {

		private double sum;

		private double weight;

		private long decayedAt;

		void decay(long now) {
			double factor = Math.exp((this.decayedAt - now) / DECAY_NANOS);
			this.sum *= factor;
			this.weight *= factor;
			this.decayedAt = now;
		}

		void add(double value) {
			this.sum += value;
			this.weight++;
		}

		double mean() {
			return (this.weight > 0) ? this.sum / this.weight : 0;
		}

	}

}
