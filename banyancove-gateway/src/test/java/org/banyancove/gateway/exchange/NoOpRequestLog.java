package org.banyancove.gateway.exchange;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

import org.banyancove.core.EndpointId;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.tunnel.TunnelRefusal;
import org.banyancove.http.FramingViolation;
import org.jspecify.annotations.Nullable;

/**
 * A log that keeps the unreadable load headers and the ended requests, and ignores
 * everything else.
 */
class NoOpRequestLog implements RequestLog {

	final List<String> unreadableLoads = new CopyOnWriteArrayList<>();

	final BlockingQueue<EndedRequest> endedRequests = new LinkedBlockingQueue<>();

	@Override
	public void connectionClosedUnread() {
		// Not used.
	}

	@Override
	public void rejected(RejectedRequest request) {
	}

	@Override
	public void attemptFailed(FailedAttempt attempt, String reason) {
	}

	@Override
	public void retryDecided(RetryDecision retry) {
	}

	@Override
	public void responseDiscarded(String requestId, EndpointId endpoint, @Nullable String statedRequestId, int status) {
	}

	@Override
	public void framingViolated(InetSocketAddress address, @Nullable String requestId, FramingViolation violation) {
	}

	@Override
	public void streamMoveEnded(EndedMove move) {
	}

	@Override
	public void ended(EndedRequest request) {
		this.endedRequests.add(request);
	}

	@Override
	public void streamOriginSearched(@Nullable String requestId, @Nullable String resumedRequestId,
			@Nullable KnownOrigin origin, Duration elapsed) {
	}

	@Override
	public void shutdownAnnounced(EndpointId endpoint) {
	}

	@Override
	public void pauseRequested(EndpointId endpoint, Duration duration) {
	}

	@Override
	public void rateLimitChanged(EndpointId endpoint, @Nullable Double requestsPerSecond) {
	}

	@Override
	public void rejectionLimitAnnounced(EndpointId endpoint, double rejectionsPerSecond) {
	}

	@Override
	public void loadUnreadable(EndpointId endpoint, String header) {
		this.unreadableLoads.add(header);
	}

	@Override
	public void tunnelOpened(String requestId, InetSocketAddress endpoint, String peer) {
	}

	@Override
	public void tunnelFailed(String requestId, InetSocketAddress endpoint, String peer, String reason) {
	}

	@Override
	public void tunnelAccepted(String requestId, InetSocketAddress endpoint, InetSocketAddress from) {
	}

	@Override
	public void tunnelRefused(String requestId, String target, InetSocketAddress from, TunnelRefusal reason) {
	}

}
