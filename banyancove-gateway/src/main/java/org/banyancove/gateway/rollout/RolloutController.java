package org.banyancove.gateway.rollout;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides the next step of a rollout.
 * <p>
 * A version may become unhealthy late, or only under load. Until shortly before the
 * deadline, the candidate therefore receives a fraction of the requests that an unhealthy
 * version may receive, and then the streams that would outlive the baseline. All requests
 * move only at the end, when the remaining exposure budget is sufficient until the
 * deadline.
 * <p>
 * Performs no I/O and reads no clock: the wall-clock time is passed in.
 */
public final class RolloutController {

	/** Maximum fraction of the requests sent to the candidate during the analysis. */
	private static final double MAXIMUM_CANARY_WEIGHT = 0.2;

	/**
	 * Fraction of the permitted exposure that is used before the final decision: the
	 * counts of the gateways are some hundred ms old, and those of failed gateways are
	 * missing.
	 */
	private static final double EXPOSURE_BUDGET_FRACTION = 0.85;

	/** Fraction of the exposure budget for the canary; the remainder is for streams. */
	private static final double CANARY_BUDGET_FRACTION = 0.65;

	/**
	 * Time before the final decision at which streams that cannot be resumed move to the
	 * candidate.
	 */
	private static final Duration STREAM_MOVE_LEAD_TIME = Duration.ofSeconds(3);

	/**
	 * Time from the final decision to the deadline: covers two writes to the store and
	 * the propagation of the decision to all gateways.
	 */
	private static final Duration MAXIMUM_DECISION_LEAD_TIME = Duration.ofMillis(900);

	/**
	 * Maximum time from the final decision to the deadline, as a fraction of the
	 * rollout's duration. All requests go to the candidate during this time, and count
	 * towards the exposure limit of an unhealthy version.
	 */
	private static final double DECISION_LEAD_TIME_FRACTION = 0.075;

	/** Minimum number of the candidate's answers for a meaningful verdict. */
	private static final int MINIMUM_ANSWERS = 20;

	private final CanaryAnalysis analysis = new CanaryAnalysis();

	private final ExposureLimits limits;

	/**
	 * Creates a controller.
	 * @param limits the limits of the requests that an unhealthy version may receive
	 */
	public RolloutController(ExposureLimits limits) {
		this.limits = limits;
	}

	/**
	 * Decides the next step of a rollout in progress.
	 * @param rollout the rollout
	 * @param fleet the aggregated samples of all gateways
	 * @param endpoints the number of endpoints of both versions that are not draining
	 * @param now the current wall-clock time
	 * @return the next stage and the verdict on which it is based
	 */
	public Step next(Rollout rollout, RolloutReport fleet, EndpointCounts endpoints, Instant now) {
		long order = rollout.order().offset();
		var candidate = fleet.samplesByRoute(order, true);
		var baseline = fleet.samplesByRoute(order, false);
		Verdict verdict = this.analysis.evaluate(candidate, baseline);
		if (verdict instanceof Verdict.Unhealthy) {
			return new Step(new RolloutStage.RolledBack(), verdict);
		}
		if (endpoints.baseline() == 0 && endpoints.candidate() > 0) {
			return new Step(new RolloutStage.Completed(), verdict);
		}
		VersionSamples candidateSamples = VersionSamples.sum(candidate.values());
		Duration leadTime = decisionLeadTime(rollout.order());
		Duration untilDecision = Duration.between(now, rollout.orderedAt().plus(rollout.order().duration()))
			.minus(leadTime);
		if (!untilDecision.isPositive()) {
			boolean sufficientEvidence = candidateSamples.answered() >= MINIMUM_ANSWERS && likelyHealthy(verdict);
			boolean completes = sufficientEvidence && endpoints.candidate() > 0;
			return new Step(completes ? new RolloutStage.Completed() : new RolloutStage.RolledBack(), verdict);
		}
		if (endpoints.candidate() == 0) {
			return new Step(RolloutStage.InProgress.NO_TRAFFIC, verdict);
		}
		long totalRequests = candidateSamples.sent() + VersionSamples.sum(baseline.values()).sent();
		double requestsPerSecond = totalRequests / Math.max(1, seconds(Duration.between(rollout.orderedAt(), now)));
		double reservedRequests = requestsPerSecond * seconds(leadTime);
		double exposureBudget = EXPOSURE_BUDGET_FRACTION
				* Math.max(0, this.limits.share() * totalRequests + this.limits.slack() - reservedRequests);
		return new Step(weights(candidateSamples.sent(), exposureBudget, requestsPerSecond, untilDecision), verdict);
	}

	private static Duration decisionLeadTime(RolloutOrder order) {
		Duration scaledLeadTime = Duration.ofNanos((long) (order.duration().toNanos() * DECISION_LEAD_TIME_FRACTION));
		return (scaledLeadTime.compareTo(MAXIMUM_DECISION_LEAD_TIME) < 0) ? scaledLeadTime : MAXIMUM_DECISION_LEAD_TIME;
	}

	private static boolean likelyHealthy(Verdict verdict) {
		return switch (verdict) {
			case Verdict.Healthy healthy -> true;
			case Verdict.Undecided undecided -> undecided.likelihoodRatio() < 0;
			case Verdict.Unhealthy unhealthy -> false;
		};
	}

	private static RolloutStage.InProgress weights(long candidateRequests, double exposureBudget,
			double requestsPerSecond, Duration untilDecision) {
		double canarySeconds = Math.max(1, seconds(untilDecision.minus(STREAM_MOVE_LEAD_TIME)));
		double expectedRequests = Math.max(1, requestsPerSecond * canarySeconds);
		double weight = Math.clamp((CANARY_BUDGET_FRACTION * exposureBudget - candidateRequests) / expectedRequests, 0,
				MAXIMUM_CANARY_WEIGHT);
		boolean movesStreams = untilDecision.compareTo(STREAM_MOVE_LEAD_TIME) <= 0
				&& candidateRequests < exposureBudget;
		return new RolloutStage.InProgress(weight, movesStreams ? 1 : weight);
	}

	private static double seconds(Duration duration) {
		return duration.toNanos() / 1e9;
	}

	/**
	 * A decision and its reason.
	 *
	 * @param stage the new stage
	 * @param verdict the verdict of the canary analysis
	 */
	public record Step(RolloutStage stage, Verdict verdict) {
	}

	/**
	 * The number of endpoints of a service that are not draining.
	 *
	 * @param baseline the number of endpoints of other versions than the candidate
	 * @param candidate the number of endpoints of the candidate
	 */
	public record EndpointCounts(int baseline, int candidate) {
	}

}
