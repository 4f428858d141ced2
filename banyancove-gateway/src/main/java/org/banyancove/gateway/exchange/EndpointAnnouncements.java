package org.banyancove.gateway.exchange;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.LoadReport;
import org.banyancove.gateway.shared.EndpointHeaders;

/**
 * Applies what endpoints announce about themselves in their answers.
 */
final class EndpointAnnouncements {

	private final RequestLog requestLog;

	EndpointAnnouncements(RequestLog requestLog) {
		this.requestLog = requestLog;
	}

	/**
	 * Applies the state of the process that answered.
	 * @param endpoint the endpoint, whose current process answered
	 * @param status the status of the answer
	 * @param headers the metadata of the answer
	 * @param now the current time
	 */
	void applyProcessState(Endpoint endpoint, HttpResponseStatus status, EndpointHeaders headers, long now) {
		if (headers.leaving() && endpoint.recordShutdownAnnouncement()) {
			this.requestLog.shutdownAnnounced(endpoint.id());
		}
		if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) && headers.retryAfter() != null
				&& endpoint.pause().request(headers.retryAfter(), now)) {
			this.requestLog.pauseRequested(endpoint.id(), headers.retryAfter());
		}
	}

	/**
	 * Applies the load and the limits that an answer states.
	 * @param endpoint the endpoint
	 * @param headers the metadata of the answer
	 * @param currentProcess whether the endpoint's current process answered; the slowdown
	 * of a process that has ended is ignored
	 * @param now the current time
	 */
	void applyLimits(Endpoint endpoint, EndpointHeaders headers, boolean currentProcess, long now) {
		LoadReport load = headers.load();
		if (load != null) {
			endpoint.updateLoad(currentProcess ? load : load.withoutSlowdown(), now);
		}
		if (headers.unreadableLoad() != null) {
			this.requestLog.loadUnreadable(endpoint.id(), headers.unreadableLoad());
		}
		// A response that the endpoint did not produce itself is no evidence that a limit
		// has been lifted.
		if (!headers.sealed() && !headers.notRun()) {
			return;
		}
		if (endpoint.rateLimiter().observe(headers.rateLimit(), now, now)) {
			this.requestLog.rateLimitChanged(endpoint.id(), headers.rateLimit());
		}
		Double toleratedRejections = headers.toleratedRejections();
		if (toleratedRejections != null && endpoint.announceToleratedRejections(toleratedRejections, now)) {
			this.requestLog.rejectionLimitAnnounced(endpoint.id(), toleratedRejections);
		}
	}

}
