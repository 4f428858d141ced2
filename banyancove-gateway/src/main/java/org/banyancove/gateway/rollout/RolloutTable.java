package org.banyancove.gateway.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * The state of all rollouts at a gateway: orders, the decisions of the lease holder, and
 * the gateway's own samples.
 * <p>
 * Times are in nanoseconds of the monotonic clock.
 */
public final class RolloutTable {

	/**
	 * Time without a newer decision after which this gateway stops sending requests to
	 * the candidate: a partitioned gateway would not receive a rollback.
	 */
	private static final Duration DECISION_TIMEOUT = Duration.ofMillis(2500);

	/**
	 * Time after which the order of a version is known, if there is one. All gateways
	 * have also read by then that the version is listed.
	 */
	private static final Duration ORDER_DELAY = Duration.ofSeconds(3);

	private final Map<ServiceName, RolloutOrder> orders = new HashMap<>();

	private final Map<ServiceName, TimedDecision> decisions = new HashMap<>();

	private final Map<ServiceName, Set<String>> trustedVersions = new HashMap<>();

	/** The candidates of all orders; the newest order of a service may hide others. */
	private final Map<ServiceName, Set<String>> orderedVersions = new HashMap<>();

	private final Map<ServiceName, Map<String, Long>> firstListedAt = new HashMap<>();

	private final Map<SampleKey, VersionSamples> samples = new HashMap<>();

	private final Map<ServiceName, SlowAnswerDetector> slowAnswerDetectors = new HashMap<>();

	/**
	 * Records an order, unless a newer one of its service is known.
	 * @param order the order
	 * @return {@code true} if the order is new
	 */
	public boolean addOrder(RolloutOrder order) {
		RolloutOrder newest = this.orders.get(order.service());
		if (newest != null && newest.offset() >= order.offset()) {
			return false;
		}
		this.orders.put(order.service(), order);
		this.orderedVersions.computeIfAbsent(order.service(), (service) -> new HashSet<>()).add(order.candidate());
		return true;
	}

	/**
	 * Returns the newest order of each service.
	 * @return the orders
	 */
	public Collection<RolloutOrder> orders() {
		return List.copyOf(this.orders.values());
	}

	/**
	 * Applies the decisions of the lease holder that are newer than the known ones.
	 * @param reported the decisions
	 * @param now the current time
	 */
	public void applyDecisions(Collection<Rollout> reported, long now) {
		for (Rollout rollout : reported) {
			ServiceName service = rollout.order().service();
			addOrder(rollout.order());
			TimedDecision newest = this.decisions.get(service);
			if (newest == null || rollout.isNewerThan(newest.rollout())) {
				this.decisions.put(service, new TimedDecision(rollout, now));
				if (rollout.stage().isTerminal()) {
					endRollout(rollout);
				}
			}
		}
	}

	private void endRollout(Rollout rollout) {
		this.samples.keySet().removeIf((key) -> key.order() == rollout.order().offset());
		this.slowAnswerDetectors.remove(rollout.order().service());
		if (rollout.stage() instanceof RolloutStage.Completed) {
			trustedVersionsOf(rollout.order().service()).add(rollout.order().candidate());
		}
	}

	private Set<String> trustedVersionsOf(ServiceName service) {
		return this.trustedVersions.computeIfAbsent(service, (name) -> new HashSet<>());
	}

	/**
	 * Returns the newest decision on the newest order of a service.
	 * @param service the service
	 * @return the decision, or {@code null} if there is none
	 */
	public @Nullable Rollout decision(ServiceName service) {
		TimedDecision newest = this.decisions.get(service);
		RolloutOrder order = this.orders.get(service);
		if (newest == null || order == null || newest.rollout().order().offset() != order.offset()) {
			return null;
		}
		return newest.rollout();
	}

	/**
	 * Returns whether the newest order of a service is pending or in progress.
	 * @param service the service
	 * @return {@code true} if the service has an order whose rollout has not ended
	 */
	public boolean inProgress(ServiceName service) {
		Rollout newest = decision(service);
		return this.orders.containsKey(service) && (newest == null || !newest.stage().isTerminal());
	}

	/**
	 * Chooses the versions that may serve a request.
	 * @param service its service
	 * @param nonResumable whether it is a stream that cannot be resumed when its endpoint
	 * stops
	 * @param randomValue a random number from 0 to 1; 1 excludes a candidate in progress
	 * @param now the current time
	 * @return the eligible versions
	 */
	public VersionChoice choose(ServiceName service, boolean nonResumable, double randomValue, long now) {
		RolloutOrder order = this.orders.get(service);
		if (order == null) {
			return new VersionChoice.Trusted();
		}
		TimedDecision newest = this.decisions.get(service);
		if (newest == null || newest.rollout().order().offset() != order.offset()) {
			return new VersionChoice.Baseline(order.candidate());
		}
		return switch (newest.rollout().stage()) {
			case RolloutStage.Completed completed -> new VersionChoice.Candidate(order.candidate(), 1);
			case RolloutStage.RolledBack rolledBack -> new VersionChoice.Baseline(order.candidate());
			case RolloutStage.InProgress stage -> {
				double weight = nonResumable ? stage.streamWeight() : stage.weight();
				boolean upToDate = now - newest.at() < DECISION_TIMEOUT.toNanos();
				yield (upToDate && randomValue < weight) ? new VersionChoice.Candidate(order.candidate(), weight)
						: new VersionChoice.Baseline(order.candidate());
			}
		};
	}

	/**
	 * Returns whether a version gets no further requests, not even for streams that it
	 * began: a candidate that was rolled back, or whose rollback could be unknown here.
	 * @param service the service
	 * @param version the version
	 * @param now the current time
	 * @return whether it is the candidate of an order that was not completed, and does
	 * not serve a part of the requests now
	 */
	public boolean withholds(ServiceName service, String version, long now) {
		RolloutOrder order = this.orders.get(service);
		if (order == null || !version.equals(order.candidate())) {
			return this.orderedVersions.getOrDefault(service, Set.of()).contains(version)
					&& !trustedVersionsOf(service).contains(version);
		}
		TimedDecision newest = this.decisions.get(service);
		if (newest == null || newest.rollout().order().offset() != order.offset()) {
			return true;
		}
		return switch (newest.rollout().stage()) {
			case RolloutStage.Completed completed -> false;
			case RolloutStage.RolledBack rolledBack -> true;
			case RolloutStage.InProgress stage -> now - newest.at() >= DECISION_TIMEOUT.toNanos();
		};
	}

	/**
	 * Returns whether a version is trusted, because it served before any rollout, its
	 * rollout was completed, or nobody has ordered one. A version receives no requests
	 * for a while after it was first listed, since its order may still be in flight.
	 * @param service the service
	 * @param version the version
	 * @param listed all listed versions of the service
	 * @param now the current time
	 * @return {@code true} if the version may serve requests without a rollout
	 */
	public boolean isTrusted(ServiceName service, String version, Set<String> listed, long now) {
		Set<String> trusted = trustedVersionsOf(service);
		Map<String, Long> firstListed = this.firstListedAt.computeIfAbsent(service, (name) -> new HashMap<>());
		firstListed.keySet().retainAll(listed);
		listed.forEach((name) -> firstListed.putIfAbsent(name, now));
		Set<String> ordered = this.orderedVersions.getOrDefault(service, Set.of());
		if (trusted.stream().noneMatch(listed::contains)) {
			listed.stream().filter((name) -> !ordered.contains(name)).forEach(trusted::add);
		}
		if (!ordered.contains(version) && now - firstListed.getOrDefault(version, now) >= ORDER_DELAY.toNanos()) {
			trusted.add(version);
		}
		return trusted.contains(version);
	}

	/**
	 * Records a request as sent.
	 * @param service its service
	 * @param route its route
	 * @param version the version of its endpoint
	 */
	public void recordSent(ServiceName service, String route, String version) {
		count(service, route, version, new VersionSamples(1, 0, 0));
	}

	/**
	 * Records a request as failed.
	 * @param service its service
	 * @param route its route
	 * @param version the version of its endpoint
	 */
	public void recordFailed(ServiceName service, String route, String version) {
		count(service, route, version, new VersionSamples(0, 1, 1));
	}

	/**
	 * Records a request as answered. A slow answer counts as bad.
	 * @param service its service
	 * @param route its route
	 * @param version the version of its endpoint
	 * @param times the measured times of its answer
	 */
	public void recordAnswered(ServiceName service, String route, String version, AnswerTimes times) {
		RolloutOrder order = this.orders.get(service);
		if (order == null || !inProgress(service)) {
			return;
		}
		SlowAnswerDetector detector = this.slowAnswerDetectors.computeIfAbsent(service,
				(name) -> new SlowAnswerDetector());
		String firstEventMeasure = route + " first";
		String eventIntervalMeasure = route + " pace";
		boolean slow = detector.isSlow(firstEventMeasure, times.relativeTimeToFirstEvent())
				|| detector.isSlow(eventIntervalMeasure, times.eventIntervalMillis());
		if (!version.equals(order.candidate())) {
			detector.addBaseline(firstEventMeasure, times.relativeTimeToFirstEvent());
			detector.addBaseline(eventIntervalMeasure, times.eventIntervalMillis());
		}
		count(service, route, version, new VersionSamples(0, 1, slow ? 1 : 0));
	}

	private void count(ServiceName service, String route, String version, VersionSamples sample) {
		RolloutOrder order = this.orders.get(service);
		if (order != null && inProgress(service)) {
			SampleKey key = new SampleKey(order.offset(), route, version.equals(order.candidate()));
			this.samples.merge(key, sample, VersionSamples::plus);
		}
	}

	/**
	 * Returns the newest decisions and this gateway's own samples.
	 * @return the report
	 */
	public RolloutReport report() {
		if (this.decisions.isEmpty() && this.samples.isEmpty()) {
			return RolloutReport.NONE;
		}
		List<Rollout> rollouts = new ArrayList<>();
		this.decisions.values().forEach((newest) -> rollouts.add(newest.rollout()));
		return new RolloutReport(rollouts, this.samples);
	}

	private record TimedDecision(Rollout rollout, long at) {
	}

}
