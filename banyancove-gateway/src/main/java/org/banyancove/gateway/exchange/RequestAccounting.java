package org.banyancove.gateway.exchange;

import java.time.Duration;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.rollout.RolloutTable;
import org.banyancove.gateway.shared.CallerHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Records one request: the use of its client account, its attempts in the statistics of
 * rollouts, and its end in the log.
 */
final class RequestAccounting {

	private final RequestDispatcher dispatcher;

	private final CallerRequest request;

	private final CallerHeaders requestHeaders;

	private final RoutingDecision.Accepted accepted;

	private final long configurationVersion;

	private boolean usageRecorded;

	private @Nullable Duration timeToFirstByte;

	RequestAccounting(RequestDispatcher dispatcher, CallerRequest request, CallerHeaders requestHeaders,
			RoutingDecision.Accepted accepted) {
		this.dispatcher = dispatcher;
		this.request = request;
		this.requestHeaders = requestHeaders;
		this.accepted = accepted;
		this.configurationVersion = dispatcher.configurationVersion();
	}

	/** Records the use of the account, once for each request. */
	void recordUsage() {
		ClientAccount account = this.accepted.account();
		if (!this.usageRecorded && account != null) {
			this.usageRecorded = true;
			this.dispatcher.meters().usage().recordStart(account.name(), this.dispatcher.wallClock().instant());
		}
	}

	/** Records that the response to the caller begins. */
	void recordFirstByte() {
		this.timeToFirstByte = elapsed();
	}

	void recordSent(Attempt attempt) {
		rollouts().recordSent(service(), route(), attempt.version());
	}

	void recordAnswered(Attempt attempt) {
		rollouts().recordAnswered(service(), route(), attempt.version(), attempt.responseTimes());
	}

	void recordFailed(Attempt attempt) {
		rollouts().recordFailed(service(), route(), attempt.version());
	}

	/**
	 * Records the end of the request.
	 * @param outcome the outcome
	 * @param status the status sent to the caller; 0 if the connection was closed
	 * @param last the last attempt, or {@code null} if the request was not sent
	 * @param attempts the number of attempts
	 */
	void recordEnd(String outcome, int status, @Nullable Attempt last, int attempts) {
		String endpoint = (last != null) ? last.endpoint().id().value() : null;
		String endpointVersion = (last != null) ? last.version() : null;
		this.dispatcher.requestLog()
			.ended(new RequestLog.EndedRequest(String.valueOf(this.requestHeaders.requestId()), route(), outcome,
					status, endpoint, endpointVersion, this.requestHeaders.resumedRequestId(), attempts,
					(last != null) ? last.connectionCalls() : 0, (last != null) ? last.discardedResponses() : 0,
					this.timeToFirstByte, elapsed(), this.configurationVersion));
	}

	private Duration elapsed() {
		return Duration.ofNanos(this.dispatcher.clock().nanos() - this.request.arrivedAt());
	}

	private RolloutTable rollouts() {
		return this.dispatcher.endpoints().rollouts();
	}

	private ServiceName service() {
		return this.accepted.service().name();
	}

	private String route() {
		return this.accepted.route().name();
	}

}
