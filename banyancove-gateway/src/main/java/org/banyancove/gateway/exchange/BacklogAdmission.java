package org.banyancove.gateway.exchange;

import java.time.Duration;

import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.endpoint.EndpointPartition;
import org.banyancove.gateway.endpoint.LatencyClass;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.waiting.BacklogDecision;
import org.banyancove.gateway.waiting.WaitingRequest;

/**
 * Decides whether a request is sent to the endpoint that placement chose, waits or is
 * rejected, before its first attempt.
 */
final class BacklogAdmission {

	private final RequestDispatcher dispatcher;

	private final Exchange exchange;

	private final CallerRequest request;

	private final RoutingDecision.Accepted accepted;

	private final Route route;

	private final Service service;

	BacklogAdmission(RequestDispatcher dispatcher, Exchange exchange, CallerRequest request,
			RoutingDecision.Accepted accepted) {
		this.dispatcher = dispatcher;
		this.exchange = exchange;
		this.request = request;
		this.accepted = accepted;
		this.route = accepted.route();
		this.service = accepted.service();
	}

	/**
	 * Returns whether requests of the service may wait in a queue.
	 * @param placement the chosen endpoint
	 * @return whether its engines announce a slowdown
	 */
	boolean usesQueue(Placement placement) {
		return this.service.generatesTokens() && placement.endpoint().partition().slowdownAnnounced();
	}

	/**
	 * Returns whether the request may wait in a queue.
	 * @param placement the chosen endpoint
	 * @return whether another route of the service has a shorter latency target
	 */
	boolean mayWait(Placement placement) {
		EndpointPartition partition = placement.endpoint().partition();
		return usesQueue(placement) && partition.classOf(this.route.latencyTarget()) == LatencyClass.LONGER_TARGET;
	}

	BacklogDecision decide(Placement placement) {
		Duration shortestTarget = placement.endpoint().partition().shortestTarget();
		Duration target = (mayWait(placement) && shortestTarget != null) ? shortestTarget : this.route.latencyTarget();
		return this.dispatcher.backlogRule()
			.decide(this.route, target, placement.backlog(now()), predicted(placement), this.exchange.elapsed(),
					this.exchange.remaining());
	}

	/**
	 * Decides about the rest of a stream, which does not wait.
	 * @param placement the chosen endpoint
	 * @return the decision
	 */
	BacklogDecision decideResumption(Placement placement) {
		Duration retryAfter = this.dispatcher.admission()
			.retryAfterResumption(predicted(placement), this.exchange.remaining());
		return retryAfter.isZero() ? new BacklogDecision.Send() : new BacklogDecision.Rejected(retryAfter);
	}

	private static Duration predicted(Placement placement) {
		return Duration.ofNanos((long) (placement.predictedMillis() * 1e6));
	}

	WaitingRequest waitingRequest(Placement placement) {
		ClientAccount account = this.accepted.account();
		long latestStartAt = this.request.arrivedAt()
				+ this.route.latencyTarget().minus(placement.serviceTime(now())).toNanos();
		return new WaitingRequest(this.exchange.requestId(), priority(), (account != null) ? account.name() : null,
				this.dispatcher.quotas().quotaSeconds(account, this.exchange.prompt().totalTokens()),
				placement.endpoint().serviceTimeMillis(placement.prefillTokens()), this.request.body().readableBytes(),
				this.request.arrivedAt(), latestStartAt);
	}

	// An operator may configure any number.
	private int priority() {
		ClientAccount account = this.accepted.account();
		Integer accountPriority = (account != null) ? account.priority() : null;
		return Math.max(0, (accountPriority != null) ? accountPriority : this.route.priority());
	}

	private long now() {
		return this.dispatcher.clock().nanos();
	}

}
