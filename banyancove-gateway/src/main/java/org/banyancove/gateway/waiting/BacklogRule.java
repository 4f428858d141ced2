package org.banyancove.gateway.waiting;

import java.time.Duration;

import org.banyancove.gateway.admission.AdmissionRule;
import org.banyancove.gateway.configuration.Route;

/**
 * Decides whether a request is sent to the endpoint that placement chose, waits at the
 * gateway or is rejected.
 * <p>
 * In a burst, the backlog that long prompts build up at the engines makes every request
 * with a short latency target late, whatever its priority. Requests with a longer target
 * therefore wait at the gateway, where they leave room for those with the shortest one.
 */
public final class BacklogRule {

	/**
	 * Maximum backlog relative to the shortest target at which a request with a longer
	 * target is sent. The other half is left to the prefills of the request that is sent
	 * and of the one that follows.
	 */
	private static final int SHORTEST_TARGET_DIVISOR = 2;

	private static final BacklogDecision SEND = new BacklogDecision.Send();

	private static final BacklogDecision WAIT = new BacklogDecision.Wait();

	private final AdmissionRule admission;

	/**
	 * Creates the rule.
	 * @param admission decides about requests that do not wait
	 */
	public BacklogRule(AdmissionRule admission) {
		this.admission = admission;
	}

	/**
	 * Decides about a request.
	 * @param route its route
	 * @param shortestTarget the shortest latency target of the service's routes
	 * @param backlog the time needed to prefill what is pending at the endpoint
	 * @param predicted the predicted time to its first event, if it is sent now
	 * @param elapsed the time since its arrival
	 * @param remaining the time until its caller's deadline
	 * @return the decision
	 */
	public BacklogDecision decide(Route route, Duration shortestTarget, Duration backlog, Duration predicted,
			Duration elapsed, Duration remaining) {
		boolean mayWait = route.latencyTarget().compareTo(shortestTarget) > 0;
		if (mayWait && backlog.compareTo(shortestTarget.dividedBy(SHORTEST_TARGET_DIVISOR)) > 0) {
			return WAIT;
		}
		Duration retryAfter = this.admission.retryAfter(route, predicted, elapsed, remaining);
		return retryAfter.isZero() ? SEND : new BacklogDecision.Rejected(retryAfter);
	}

}
