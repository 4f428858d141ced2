package org.banyancove.gateway.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.jspecify.annotations.Nullable;

/**
 * A request or a part of prompts with which endpoints ended, and the evidence that it
 * crashed them.
 * <p>
 * Times are nanoseconds of the monotonic clock.
 */
final class Suspect {

	private static final int MAXIMUM_CRASHES = 64;

	/** Reports of the same crash differ by less than this, even on a slow network. */
	private static final Duration SAME_CRASH_WINDOW = Duration.ofSeconds(2);

	/** Reports of the same answer differ by less than this. */
	private static final Duration SAME_ANSWER_WINDOW = Duration.ofMillis(500);

	/** Endpoints of several data centers that end within less have a common cause. */
	private static final Duration COMMON_CAUSE_WINDOW = Duration.ofMillis(50);

	private static final Comparator<Crash> BY_END = Comparator.comparingLong(Crash::lostAt);

	private final List<Crash> crashes = new ArrayList<>(1);

	private @Nullable Long answeredAt;

	private @Nullable Long observedAt;

	private @Nullable Long triedAt;

	/**
	 * Adds a crash. Of two reports of a crash, the earlier one is more accurate, because
	 * transmission only delays them.
	 * @param endpoint the endpoint
	 * @param sentAt when the request was sent
	 * @param lostAt when the connection ended
	 * @return whether the crash was not known yet
	 */
	boolean addCrash(EndpointId endpoint, long sentAt, long lostAt) {
		if (this.answeredAt != null && lostAt <= this.answeredAt) {
			return false;
		}
		Crash added = new Crash(endpoint, sentAt, lostAt);
		for (int i = 0; i < this.crashes.size(); i++) {
			if (this.crashes.get(i).isSameAs(added)) {
				this.crashes.set(i, this.crashes.get(i).earlierOf(added));
				this.crashes.sort(BY_END);
				return false;
			}
		}
		this.crashes.add(added);
		this.crashes.sort(BY_END);
		if (this.crashes.size() > MAXIMUM_CRASHES) {
			this.crashes.removeFirst();
		}
		return true;
	}

	/**
	 * Records that an endpoint answered. The crashes until then had another cause.
	 * @param at when the endpoint had answered
	 * @return whether crashes had been known
	 */
	boolean answered(long at) {
		if (this.answeredAt != null && at <= this.answeredAt) {
			return false;
		}
		boolean crashesKnown = !this.crashes.isEmpty();
		this.answeredAt = at;
		this.crashes.removeIf((crash) -> crash.lostAt() <= at);
		return crashesKnown;
	}

	/**
	 * Records that an endpoint answered according to another gateway. Each transmission
	 * makes an answer appear later, so that one shortly after the last known answer may
	 * be that answer.
	 * @param at when the endpoint had answered
	 * @return whether crashes had been known
	 */
	boolean reportedAnswered(long at) {
		return (this.answeredAt == null || at - this.answeredAt > SAME_ANSWER_WINDOW.toNanos()) && answered(at);
	}

	/**
	 * Records that this gateway, and not only another one, observed it.
	 * @param now the current time
	 */
	void observed(long now) {
		this.observedAt = now;
	}

	/**
	 * Records that this gateway sent a request with it to an endpoint.
	 * @param now the current time
	 */
	void tried(long now) {
		this.triedAt = now;
	}

	boolean triedSince(long time) {
		return this.triedAt != null && this.triedAt >= time;
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
	 * Returns the crashes of endpoints that did not show later that they had not crashed.
	 * @param endpoints the endpoints
	 * @return the crashes in the order of their times
	 */
	List<Crash> crashes(EndpointTable endpoints) {
		return this.crashes.stream().filter((crash) -> !endpoints.wasAlive(crash.endpoint(), crash.lostAt())).toList();
	}

	/**
	 * Selects a longest sequence of crashes in which each attempt was sent after the
	 * previous endpoint had ended. Endpoints that end while all of them have the request
	 * may have a common cause, such as the loss of their data center, and count as one.
	 * @param crashes the crashes in the order of their times
	 * @return the successive ones
	 */
	static List<Crash> successive(List<Crash> crashes) {
		List<Crash> successive = new ArrayList<>(crashes.size());
		for (Crash crash : crashes) {
			if (successive.isEmpty() || crash.sentAt() >= successive.getLast().lostAt()) {
				successive.add(crash);
			}
		}
		return successive;
	}

	/**
	 * Selects the crashes that have no common cause such as the loss of a data center:
	 * those that are successive in their data center, and the first ones of several data
	 * centers.
	 * @param crashes the crashes in the order of their times
	 * @param dataCenters returns an endpoint's data center, or {@code null}
	 * @return the independent ones
	 */
	static List<Crash> independent(List<Crash> crashes, Function<EndpointId, @Nullable DataCenterName> dataCenters) {
		List<Crash> independent = new ArrayList<>(crashes.size());
		Map<String, Crash> lastByDataCenter = new HashMap<>();
		for (Crash crash : crashes) {
			DataCenterName known = dataCenters.apply(crash.endpoint());
			String dataCenter = (known != null) ? known.value() : "unknown data center of " + crash.endpoint();
			Crash previous = lastByDataCenter.get(dataCenter);
			boolean separate = independent.isEmpty()
					|| crash.lostAt() - independent.getLast().lostAt() >= COMMON_CAUSE_WINDOW.toNanos();
			if ((previous != null) ? crash.sentAt() >= previous.lostAt() : separate) {
				independent.add(crash);
				lastByDataCenter.put(dataCenter, crash);
			}
		}
		return independent;
	}

	/**
	 * A crash of an endpoint.
	 *
	 * @param endpoint the endpoint
	 * @param sentAt when the request was sent
	 * @param lostAt when the connection ended
	 */
	record Crash(EndpointId endpoint, long sentAt, long lostAt) {

		boolean isSameAs(Crash other) {
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
