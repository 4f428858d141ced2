package org.banyancove.core.planner;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * The exponential backoff of refused starts for each kind of VM. Used by one thread.
 */
public final class StartBackoff {

	private static final int MAXIMUM_EXPONENT = 4;

	private final Duration initialDelay;

	private final RandomGenerator random;

	private final Map<VmKind, Refusal> refusals = new HashMap<>();

	/**
	 * Creates the backoff.
	 * @param initialDelay the mean delay after a first refusal, which doubles with each
	 * further one
	 * @param random the random generator for jitter
	 */
	public StartBackoff(Duration initialDelay, RandomGenerator random) {
		this.initialDelay = initialDelay;
		this.random = random;
	}

	/**
	 * Records that a start was refused.
	 * @param kind the requested kind
	 * @param now the current time
	 * @param retryAfter the minimum delay, as stated by the cloud
	 */
	public void recordRefusal(VmKind kind, Instant now, Duration retryAfter) {
		Refusal previous = this.refusals.get(kind);
		int exponent = (previous != null) ? Math.min(previous.exponent() + 1, MAXIMUM_EXPONENT) : 0;
		long nanos = (long) ((this.initialDelay.toNanos() << exponent) * (0.5 + this.random.nextDouble()));
		Duration delay = Duration.ofNanos(Math.max(nanos, retryAfter.toNanos()));
		this.refusals.put(kind, new Refusal(exponent, now.plus(delay)));
	}

	/**
	 * Records that a start succeeded.
	 * @param kind the requested kind
	 */
	public void recordSuccess(VmKind kind) {
		this.refusals.remove(kind);
	}

	/**
	 * Returns the kinds whose starts must not be retried yet.
	 * @param now the current time
	 * @return the kinds
	 */
	public Set<VmKind> kindsInBackoff(Instant now) {
		return this.refusals.entrySet()
			.stream()
			.filter((entry) -> now.isBefore(entry.getValue().until()))
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
	}

	/** The consecutive refusals of one kind. */
	private record Refusal(int exponent, Instant until) {

	}

}
