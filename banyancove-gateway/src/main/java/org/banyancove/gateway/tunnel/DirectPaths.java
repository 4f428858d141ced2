package org.banyancove.gateway.tunnel;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * Records to which endpoints this gateway failed to establish a connection of its own.
 * <p>
 * A single endpoint that cannot be reached has probably ended, and the others of its
 * service take its requests. If several cannot be reached, the gateway may be partitioned
 * from them while other gateways are not.
 */
final class DirectPaths {

	/** Unreachable endpoints of a service from which on a partition is suspected. */
	private static final int SUSPICIOUS_FAILURES = 2;

	/** Interval at which an unreachable endpoint is tried again directly. */
	private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

	/** Random part of the interval, so that gateways do not return all at once. */
	private static final Duration RETRY_JITTER = Duration.ofMillis(500);

	/**
	 * Time between two attempts at the unreachable endpoints of a service, so that a
	 * request waits for one of them at most.
	 */
	private static final Duration RETRY_SPACING = Duration.ofMillis(250);

	/** Time after which a failure is forgotten if no other attempt confirms it. */
	private static final Duration RETENTION = Duration.ofSeconds(10);

	private static final int MAXIMUM_FAILURES = 1024;

	private final RandomGenerator random;

	/** The latest failures, the least recent first. */
	private final Map<InetSocketAddress, Failure> failures = new LinkedHashMap<>();

	private final Map<ServiceName, Long> latestRetries = new HashMap<>();

	private long latestSuccessAt = Long.MIN_VALUE;

	DirectPaths(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Records that a direct connection was established. If it could not be before, the
	 * others of the service are tried again too: a partition may have ended.
	 * @param address the endpoint's address
	 * @param now the current time
	 */
	void recordSuccess(InetSocketAddress address, long now) {
		this.latestSuccessAt = now;
		Failure ended = this.failures.remove(address);
		ServiceName service = (ended != null) ? ended.service() : null;
		if (service != null) {
			this.latestRetries.remove(service);
			this.failures
				.replaceAll((other, failure) -> service.equals(failure.service()) ? failure.withRetryAt(now) : failure);
		}
	}

	void recordFailure(InetSocketAddress address, @Nullable ServiceName service, boolean timedOut, long now) {
		Failure previous = this.failures.remove(address);
		long since = (previous != null) ? previous.since() : now;
		this.failures.put(address, new Failure(service, since, now, timedOut, nextRetry(now)));
		Iterator<Failure> oldest = this.failures.values().iterator();
		while (oldest.hasNext() && (oldest.next().isExpired(now) || this.failures.size() > MAXIMUM_FAILURES)) {
			oldest.remove();
		}
	}

	private long nextRetry(long now) {
		return now + RETRY_INTERVAL.toNanos() + this.random.nextLong(RETRY_JITTER.toNanos());
	}

	/**
	 * Returns whether the latest attempt to connect to an endpoint failed.
	 * @param address the endpoint's address
	 * @param now the current time
	 * @return whether the failure is recent
	 */
	boolean failedRecently(InetSocketAddress address, long now) {
		Failure failure = this.failures.get(address);
		return failure != null && !failure.isExpired(now);
	}

	/**
	 * Returns whether an endpoint whose latest attempt failed is to be tried again, and
	 * schedules the next time.
	 * @param address the endpoint's address
	 * @param now the current time
	 * @return whether another attempt is due
	 */
	boolean claimRetry(InetSocketAddress address, long now) {
		Failure failure = this.failures.get(address);
		if (failure == null || now < failure.retryAt()) {
			return false;
		}
		ServiceName service = failure.service();
		Long latest = (service != null) ? this.latestRetries.get(service) : null;
		if (latest != null && now - latest < RETRY_SPACING.toNanos()) {
			return false;
		}
		if (service != null) {
			this.latestRetries.put(service, now);
		}
		this.failures.replace(address, failure.withRetryAt(nextRetry(now)));
		return true;
	}

	/**
	 * Returns whether this gateway may be partitioned from the endpoints of a service.
	 * @param context the service and the number of its endpoints
	 * @param now the current time
	 * @return whether several endpoints, or the only one, cannot be reached
	 */
	boolean partitionSuspected(ConnectContext context, long now) {
		return recentFailures(context, now, false) >= Math.min(SUSPICIOUS_FAILURES, context.alternatives());
	}

	/**
	 * Returns whether the latest attempts at all endpoints of a service failed.
	 * @param context the service and the number of its endpoints
	 * @param now the current time
	 * @return whether none of them can be reached directly
	 */
	boolean allFailed(ConnectContext context, long now) {
		return recentFailures(context, now, false) >= context.alternatives();
	}

	/**
	 * Returns whether no endpoint at all may be reachable.
	 * @param now the current time
	 * @return whether several attempts have failed since the latest that succeeded
	 */
	boolean isolationSuspected(long now) {
		return this.failures.values()
			.stream()
			.filter((failure) -> !failure.isExpired(now) && failure.at() > this.latestSuccessAt)
			.count() >= SUSPICIOUS_FAILURES;
	}

	/**
	 * Returns since when connections to the endpoints of a service may be silently dead.
	 * @param context the service and the number of its endpoints
	 * @param now the current time
	 * @return the time of the first timeout, or {@code null} if no partition is suspected
	 * or connections are refused
	 */
	@Nullable Long silentSince(ConnectContext context, long now) {
		if (this.failures.isEmpty()
				|| recentFailures(context, now, true) < Math.min(SUSPICIOUS_FAILURES, context.alternatives())) {
			return null;
		}
		return this.failures.values()
			.stream()
			.filter((failure) -> failure.concerns(context.service(), now) && failure.timedOut())
			.map(Failure::since)
			.min(Long::compare)
			.orElse(null);
	}

	private long recentFailures(ConnectContext context, long now, boolean onlyTimedOut) {
		return this.failures.values()
			.stream()
			.filter((failure) -> failure.concerns(context.service(), now) && (failure.timedOut() || !onlyTimedOut))
			.count();
	}

	/**
	 * A failure to connect.
	 *
	 * @param service the endpoint's service, or {@code null} if another gateway asked
	 * @param since when the first attempt failed
	 * @param at when the latest attempt failed
	 * @param timedOut whether there was no response, as opposed to a refusal
	 * @param retryAt when to try again
	 */
	private record Failure(@Nullable ServiceName service, long since, long at, boolean timedOut, long retryAt) {

		boolean isExpired(long now) {
			return now - this.at > RETENTION.toNanos();
		}

		boolean concerns(ServiceName concerned, long now) {
			return concerned.equals(this.service) && !isExpired(now);
		}

		Failure withRetryAt(long newRetryAt) {
			return new Failure(this.service, this.since, this.at, this.timedOut, newRetryAt);
		}

	}

}
