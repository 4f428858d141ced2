package org.banyancove.gateway.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.banyancove.core.EndpointId;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.jspecify.annotations.Nullable;

/**
 * A request during which endpoints ended, with the evidence that it crashed them.
 * <p>
 * Times are nanoseconds of the monotonic clock.
 */
final class SuspectRequest {

	private static final int MAXIMUM_CRASHES = 16;

	/** Reports of the same crash differ by less than this, even on a slow network. */
	private static final Duration SAME_CRASH_WINDOW = Duration.ofSeconds(2);

	private static final Comparator<Crash> BY_END = Comparator.comparingLong(Crash::lostAt);

	private final List<Crash> crashes = new ArrayList<>(1);

	private @Nullable Long answeredAt;

	private @Nullable Long observedAt;

	/**
	 * Adds a crash. Of two reports of a crash, the earlier one is more accurate, because
	 * transmission only delays them.
	 * @param endpoint the endpoint
	 * @param sentAt when the request was sent
	 * @param lostAt when the connection ended
	 */
	void addCrash(EndpointId endpoint, long sentAt, long lostAt) {
		if (this.answeredAt != null && lostAt <= this.answeredAt) {
			return;
		}
		Crash added = new Crash(endpoint, sentAt, lostAt);
		for (int i = 0; i < this.crashes.size(); i++) {
			if (this.crashes.get(i).isSameAs(added)) {
				this.crashes.set(i, this.crashes.get(i).earlierOf(added));
				this.crashes.sort(BY_END);
				return;
			}
		}
		this.crashes.add(added);
		this.crashes.sort(BY_END);
		if (this.crashes.size() > MAXIMUM_CRASHES) {
			this.crashes.removeFirst();
		}
	}

	/**
	 * Records that an endpoint completed the request. The crashes until then had another
	 * cause.
	 * @param at when the response was complete
	 */
	void answered(long at) {
		if (this.answeredAt == null || at > this.answeredAt) {
			this.answeredAt = at;
			this.crashes.removeIf((crash) -> crash.lostAt() <= at);
		}
	}

	/**
	 * Records that this gateway, and not only another one, observed the request.
	 * @param now the current time
	 */
	void observed(long now) {
		this.observedAt = now;
	}

	boolean observedSince(long time) {
		return this.observedAt != null && this.observedAt >= time;
	}

	boolean changedSince(long time) {
		Long lastCrash = lastCrashAt();
		return (lastCrash != null && lastCrash >= time) || (this.answeredAt != null && this.answeredAt >= time);
	}

	@Nullable Long answeredAt() {
		return this.answeredAt;
	}

	@Nullable Long lastCrashAt() {
		return this.crashes.isEmpty() ? null : this.crashes.getLast().lostAt();
	}

	/**
	 * Returns a longest sequence of crashes in which each attempt was sent after the
	 * previous endpoint had ended. Endpoints that end while all of them have the request
	 * may have a common cause, such as the loss of their data center, and count as one.
	 * @param endpoints the endpoints, which show by later answers that they did not crash
	 * @return the crashes in the order of their times
	 */
	List<Crash> successiveCrashes(EndpointTable endpoints) {
		List<Crash> successive = new ArrayList<>(this.crashes.size());
		for (Crash crash : this.crashes) {
			boolean alive = endpoints.wasAlive(crash.endpoint(), crash.lostAt());
			if (!alive && (successive.isEmpty() || crash.sentAt() >= successive.getLast().lostAt())) {
				successive.add(crash);
			}
		}
		return successive;
	}

	/**
	 * A crash of an endpoint.
	 *
	 * @param endpoint the endpoint
	 * @param sentAt when the request was sent
	 * @param lostAt when the connection ended
	 */
	record Crash(EndpointId endpoint, long sentAt, long lostAt) {

		private boolean isSameAs(Crash other) {
			return this.endpoint.equals(other.endpoint)
					&& Math.abs(this.lostAt - other.lostAt) < SAME_CRASH_WINDOW.toNanos();
		}

		private Crash earlierOf(Crash other) {
			return new Crash(this.endpoint, Math.min(this.sentAt, other.sentAt), Math.min(this.lostAt, other.lostAt));
		}

		CrashObservation toObservation(long now) {
			long lostAge = Math.max(0, now - this.lostAt);
			return new CrashObservation(this.endpoint, Duration.ofNanos(Math.max(lostAge, now - this.sentAt)),
					Duration.ofNanos(lostAge));
		}

	}

}
