package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the aggregators of a group: the highest-ranked gateways that respond.
 * <p>
 * Every gateway ranks the members of a group identically, so no consensus is required. A
 * candidate that does not respond in time is skipped and probed periodically. If no
 * member responds, the highest-ranked ones remain selected: their data centre may be
 * partitioned, and the first response shows that the partition has ended.
 * <p>
 * Times are in nanoseconds of the monotonic clock.
 */
public final class AggregatorSelection {

	/** Aggregators per group: with two, no report is lost if one fails. */
	private static final int AGGREGATORS_PER_GROUP = 2;

	/** Time without a response after which a candidate is skipped. */
	private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(900);

	/** Interval between two probes of a skipped candidate. */
	private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

	private final Map<String, Long> awaitingResponseSince = new HashMap<>();

	private final Map<String, Long> probedAt = new HashMap<>();

	private final String own;

	/**
	 * Creates a selection.
	 * @param own the name of this gateway, which always counts as responding
	 */
	public AggregatorSelection(String own) {
		this.own = own;
	}

	/**
	 * Records a response.
	 * @param name the gateway that sent it
	 */
	public void answered(String name) {
		this.awaitingResponseSince.remove(name);
		this.probedAt.remove(name);
	}

	/**
	 * Selects the current aggregators of a group.
	 * @param ranked the members of the group, the highest rank first
	 * @param now the current time
	 * @return the aggregators, including this gateway if it is one of them
	 */
	public List<String> choose(List<String> ranked, long now) {
		List<String> selected = new ArrayList<>(
				ranked.stream().filter((name) -> !isUnresponsive(name, now)).limit(AGGREGATORS_PER_GROUP).toList());
		for (String name : ranked) {
			if (selected.size() >= AGGREGATORS_PER_GROUP) {
				break;
			}
			if (!selected.contains(name)) {
				selected.add(name);
			}
		}
		selected.forEach((name) -> this.awaitingResponseSince.putIfAbsent(name, now));
		return selected;
	}

	/**
	 * Returns the skipped candidates whose probe is due, and records the probe.
	 * @param ranked the members of the group, the highest rank first
	 * @param selected the group's aggregators
	 * @param now the current time
	 * @return the candidates to probe
	 */
	public List<String> probe(List<String> ranked, List<String> selected, long now) {
		List<String> due = new ArrayList<>();
		for (String name : ranked) {
			if (name.equals(selected.getLast())) {
				break;
			}
			long probed = this.probedAt.getOrDefault(name, now - PROBE_INTERVAL.toNanos());
			if (!selected.contains(name) && now - probed >= PROBE_INTERVAL.toNanos()) {
				this.probedAt.put(name, now);
				due.add(name);
			}
		}
		return due;
	}

	private boolean isUnresponsive(String name, long now) {
		Long awaitingSince = this.awaitingResponseSince.get(name);
		return !name.equals(this.own) && awaitingSince != null && now - awaitingSince > RESPONSE_TIMEOUT.toNanos();
	}

}
