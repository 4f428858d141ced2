package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.exchange.RequestLog;
import org.banyancove.gateway.quarantine.SuspectKeys;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.tunnel.TunnelRefusal;
import org.banyancove.http.FramingViolation;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts and logs the outcomes of requests.
 * <p>
 * Writes one line for each request, up to a limit per second. Further lines are dropped
 * and counted, so that logging cannot consume the processor time that requests need.
 */
final class GatewayMetrics implements RequestLog {

	private static final Logger log = LoggerFactory.getLogger("org.banyancove.gateway.requests");

	/** Log lines per second: at 0.1 ms for each line, 2 % of half a core. */
	private static final int MAXIMUM_LINES_PER_SECOND = 100;

	/** Log lines per tick; there are five ticks per second. */
	private static final int LINES_PER_TICK = MAXIMUM_LINES_PER_SECOND / 5;

	/**
	 * Bucket bounds in s, from a tenth of the shortest target of interactive traffic to
	 * its longest deadline.
	 */
	private static final double[] BUCKET_BOUNDS = { 0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15, 60 };

	private static final int MAXIMUM_IDENTIFIER_LENGTH = 64;

	private static final int MAXIMUM_LOGGED_PARTS = 8;

	private final Counter requests;

	private final Counter closedConnections;

	private final Counter failedAttempts;

	private final Counter lostAttempts;

	private final Counter discardedResponses;

	private final Counter framingViolations;

	private final RetryMetrics retries;

	private final EndpointMetrics endpoints;

	private final MigrationMetrics migrations;

	private final Counter requestedPauses;

	private final Counter tunnels;

	private final Counter streamOriginSearches;

	private final Counter droppedLines;

	private final Histogram firstByteLatency;

	private final Histogram requestDuration;

	private final Gauge endpointsAge;

	private final Gauge backedOffEndpoints;

	private final Gauge quarantinedRequests;

	private final Gauge rememberedStreamOrigins;

	private Set<Fingerprint> quarantined = Set.of();

	private int availableLines = MAXIMUM_LINES_PER_SECOND;

	private long unreportedDrops;

	GatewayMetrics(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.withoutExemplars()
			.name("banyancove_requests_total")
			.help("Requests by outcome")
			.labelNames("outcome")
			.register(registry);
		this.closedConnections = Counter.builder()
			.withoutExemplars()
			.name("banyancove_connections_closed_unread_total")
			.help("Connections of callers that were closed unread during overload")
			.register(registry);
		this.failedAttempts = Counter.builder()
			.withoutExemplars()
			.name("banyancove_failed_attempts_total")
			.help("Attempts at endpoints that brought no answer")
			.register(registry);
		this.discardedResponses = Counter.builder()
			.withoutExemplars()
			.name("banyancove_discarded_responses_total")
			.help("Responses that did not belong to the request whose response was expected, by the request they named")
			.labelNames("named")
			.register(registry);
		this.framingViolations = Counter.builder()
			.withoutExemplars()
			.name("banyancove_framing_violations_total")
			.help("Bytes of servers that were no part of the expected response, by what showed it")
			.labelNames("violation")
			.register(registry);
		this.lostAttempts = Counter.builder()
			.withoutExemplars()
			.name("banyancove_lost_attempts_total")
			.help("Attempts whose connection the endpoint ended, by whether an event of the response had been received")
			.labelNames("response")
			.register(registry);
		this.retries = new RetryMetrics(registry, log);
		this.endpoints = new EndpointMetrics(registry, log);
		this.migrations = new MigrationMetrics(registry, log);
		this.requestedPauses = Counter.builder()
			.withoutExemplars()
			.name("banyancove_requested_pauses_total")
			.help("Pauses that endpoints asked this gateway for")
			.register(registry);
		this.tunnels = Counter.builder()
			.withoutExemplars()
			.name("banyancove_tunnels_total")
			.help("Tunnels to endpoints through other gateways, by what became of them")
			.labelNames("outcome")
			.register(registry);
		this.streamOriginSearches = Counter.builder()
			.withoutExemplars()
			.name("banyancove_stream_origin_searches_total")
			.help("Streams that callers resumed, by where their version was known from")
			.labelNames("source")
			.register(registry);
		this.rememberedStreamOrigins = Gauge.builder()
			.withoutExemplars()
			.name("banyancove_remembered_stream_origins")
			.help("Streams whose version this gateway remembers")
			.register(registry);
		this.droppedLines = Counter.builder()
			.withoutExemplars()
			.name("banyancove_dropped_log_lines_total")
			.help("Log lines left out to bound their volume")
			.register(registry);
		this.firstByteLatency = Histogram.builder()
			.withoutExemplars()
			.name("banyancove_first_byte_seconds")
			.help("From a request's arrival to the first byte of its answer")
			.classicOnly()
			.classicUpperBounds(BUCKET_BOUNDS)
			.register(registry);
		this.requestDuration = Histogram.builder()
			.withoutExemplars()
			.name("banyancove_request_seconds")
			.help("From a request's arrival to its end")
			.classicOnly()
			.classicUpperBounds(BUCKET_BOUNDS)
			.register(registry);
		this.endpointsAge = Gauge.builder()
			.withoutExemplars()
			.name("banyancove_endpoints_age_seconds")
			.help("Since the store was last asked for what is known of endpoints")
			.register(registry);
		this.backedOffEndpoints = Gauge.builder()
			.withoutExemplars()
			.name("banyancove_backed_off_endpoints")
			.help("Endpoints that get no requests because attempts at them failed")
			.register(registry);
		this.quarantinedRequests = Gauge.builder()
			.withoutExemplars()
			.name("banyancove_quarantined_requests")
			.help("Requests, and parts of prompts, that are rejected because they crashed several endpoints")
			.register(registry);
	}

	/**
	 * Counts the requests in quarantine and logs each that is added or released.
	 * @param current the endpoints that each of them crashed, by fingerprint
	 */
	void quarantined(Map<Fingerprint, List<EndpointId>> current) {
		current.forEach((request, crashed) -> {
			if (!this.quarantined.contains(request)) {
				log.atWarn()
					.addKeyValue("fingerprint", request.toHex())
					.addKeyValue("part", SuspectKeys.isPart(request) ? Long.toHexString(request.low()) : null)
					.addKeyValue("crashedEndpoints", crashed)
					.log("request quarantined");
			}
		});
		this.quarantined.stream()
			.filter((request) -> !current.containsKey(request))
			.forEach((request) -> log.atInfo()
				.addKeyValue("fingerprint", request.toHex())
				.log("request released from quarantine"));
		this.quarantined = Set.copyOf(current.keySet());
		this.quarantinedRequests.set(current.size());
	}

	void availableRetries(Map<ServiceName, Integer> byService) {
		this.retries.available(byService);
	}

	void slowedEndpoints(int count) {
		this.endpoints.slowedEndpoints(count);
	}

	void endpointsAge(Duration age) {
		this.endpointsAge.set(age.toNanos() / 1e9);
	}

	void rememberedStreamOrigins(int count) {
		this.rememberedStreamOrigins.set(count);
	}

	void backedOffEndpoints(int count) {
		this.backedOffEndpoints.set(count);
	}

	/** Replenishes the log lines of one tick and reports dropped lines. */
	void replenishLogLines() {
		this.availableLines = Math.min(MAXIMUM_LINES_PER_SECOND, this.availableLines + LINES_PER_TICK);
		if (this.unreportedDrops > 0) {
			log.atWarn().addKeyValue("lines", this.unreportedDrops).log("lines dropped");
			this.unreportedDrops = 0;
		}
	}

	private boolean tryAcquireLine() {
		if (this.availableLines <= 0) {
			this.unreportedDrops++;
			this.droppedLines.inc();
			return false;
		}
		this.availableLines--;
		return true;
	}

	@Override
	public void rejected(RejectedRequest request) {
		this.requests.labelValues(request.kind().code()).inc();
		if (tryAcquireLine()) {
			log.atInfo()
				.addKeyValue("requestId", request.requestId())
				.addKeyValue("error", request.kind().code())
				.addKeyValue("status", request.kind().status())
				.addKeyValue("retryAfterMs", (request.retryAfter() != null) ? request.retryAfter().toMillis() : null)
				.addKeyValue("account", request.account())
				.addKeyValue("quotaAvailable", request.quotaAvailable())
				.addKeyValue("configuration", request.version())
				.log("request rejected");
		}
	}

	@Override
	public void attemptFailed(FailedAttempt attempt, String reason) {
		this.failedAttempts.inc();
		if (attempt.lost() != null) {
			this.lostAttempts.labelValues(attempt.lost().begun() ? "begun" : "not_begun").inc();
		}
		if (tryAcquireLine()) {
			log.atInfo()
				.addKeyValue("requestId", attempt.requestId())
				.addKeyValue("endpoint", attempt.endpoint())
				.addKeyValue("endpointVersion", attempt.endpointVersion())
				.addKeyValue("attempt", attempt.number())
				.addKeyValue("predictedMs", Math.round(attempt.predictedMillis()))
				.addKeyValue("elapsedMs", attempt.elapsed().toMillis())
				.addKeyValue("reason", reason)
				.addKeyValue("retryAfterMs", (attempt.retryAfter() != null) ? attempt.retryAfter().toMillis() : null)
				.addKeyValue("fingerprint", (attempt.lost() != null) ? attempt.lost().fingerprint().toHex() : null)
				.addKeyValue("sharedParts", (attempt.lost() != null) ? hexadecimal(attempt.lost().sharedParts()) : null)
				.addKeyValue("begun", (attempt.lost() != null) ? attempt.lost().begun() : null)
				.log("attempt failed");
		}
	}

	@Override
	public void responseDiscarded(String requestId, EndpointId endpoint, @Nullable String statedRequestId, int status) {
		this.discardedResponses.labelValues((statedRequestId != null) ? "other" : "none").inc();
		if (tryAcquireLine()) {
			log.atInfo()
				.addKeyValue("requestId", requestId)
				.addKeyValue("endpoint", endpoint)
				.addKeyValue("statedRequestId", statedRequestId)
				.addKeyValue("status", status)
				.log("response discarded");
		}
	}

	@Override
	public void framingViolated(InetSocketAddress address, @Nullable String requestId, FramingViolation violation) {
		String name = violation.name().toLowerCase(Locale.ROOT);
		this.framingViolations.labelValues(name).inc();
		if (tryAcquireLine()) {
			log.atInfo()
				.addKeyValue("requestId", requestId)
				.addKeyValue("address", address)
				.addKeyValue("violation", name)
				.log("framing violation detected");
		}
	}

	private static String hexadecimal(List<Long> parts) {
		return parts.stream().limit(MAXIMUM_LOGGED_PARTS).map(Long::toHexString).collect(Collectors.joining(","));
	}

	// The budget bounds the granted retries, so that each of them is logged.
	@Override
	public void retryDecided(RetryDecision retry) {
		this.retries.count(retry);
		if (retry.granted() || tryAcquireLine()) {
			this.retries.log(retry);
		}
	}

	@Override
	public void streamMoveEnded(EndedMove move) {
		this.migrations.count(move);
		if (tryAcquireLine()) {
			this.migrations.log(move);
		}
	}

	@Override
	public void ended(EndedRequest request) {
		this.requests.labelValues(request.outcome()).inc();
		this.requestDuration.observe(request.elapsed().toNanos() / 1e9);
		if (request.timeToFirstByte() != null) {
			this.firstByteLatency.observe(request.timeToFirstByte().toNanos() / 1e9);
		}
		if (tryAcquireLine()) {
			log.atInfo()
				.addKeyValue("requestId", request.requestId())
				.addKeyValue("route", request.route())
				.addKeyValue("outcome", request.outcome())
				.addKeyValue("status", request.status())
				.addKeyValue("endpoint", request.endpoint())
				.addKeyValue("endpointVersion", request.endpointVersion())
				.addKeyValue("resumes", abbreviated(request.resumedRequestId()))
				.addKeyValue("attempts", request.attempts())
				.addKeyValue("connectionCalls", request.connectionCalls())
				.addKeyValue("discardedResponses", request.discardedResponses())
				.addKeyValue("firstByteMs",
						(request.timeToFirstByte() != null) ? request.timeToFirstByte().toMillis() : null)
				.addKeyValue("elapsedMs", request.elapsed().toMillis())
				.addKeyValue("configuration", request.version())
				.log("request ended");
		}
	}

	// A caller may send any text as an identifier.
	private static @Nullable String abbreviated(@Nullable String text) {
		return (text == null || text.length() <= MAXIMUM_IDENTIFIER_LENGTH) ? text
				: text.substring(0, MAXIMUM_IDENTIFIER_LENGTH);
	}

	@Override
	public void streamOriginSearched(@Nullable String requestId, @Nullable String resumedRequestId,
			@Nullable KnownOrigin origin, Duration elapsed) {
		String source = (origin != null) ? origin.source().name().toLowerCase(Locale.ROOT) : "unknown";
		this.streamOriginSearches.labelValues(source).inc();
		if (tryAcquireLine()) {
			log.atInfo()
				.addKeyValue("requestId", requestId)
				.addKeyValue("resumes", abbreviated(resumedRequestId))
				.addKeyValue("source", source)
				.addKeyValue("service", (origin != null) ? origin.origin().service() : null)
				.addKeyValue("version", (origin != null) ? origin.origin().version() : null)
				.addKeyValue("ageMs", (origin != null) ? origin.age().toMillis() : null)
				.addKeyValue("elapsedMs", elapsed.toMillis())
				.log("stream origin searched");
		}
	}

	@Override
	public void connectionClosedUnread() {
		this.closedConnections.inc();
	}

	@Override
	public void shutdownAnnounced(EndpointId endpoint) {
		log.atInfo().addKeyValue("endpoint", endpoint).log("endpoint announced shutdown");
	}

	@Override
	public void pauseRequested(EndpointId endpoint, Duration duration) {
		this.requestedPauses.inc();
		if (tryAcquireLine()) {
			log.atInfo()
				.addKeyValue("endpoint", endpoint)
				.addKeyValue("durationMs", duration.toMillis())
				.log("endpoint requested pause");
		}
	}

	@Override
	public void rateLimitChanged(EndpointId endpoint, @Nullable Double requestsPerSecond) {
		log.atInfo()
			.addKeyValue("endpoint", endpoint)
			.addKeyValue("requestsPerSecond", requestsPerSecond)
			.log("endpoint rate limit changed");
	}

	@Override
	public void rejectionLimitAnnounced(EndpointId endpoint, double rejectionsPerSecond) {
		log.atWarn()
			.addKeyValue("endpoint", endpoint)
			.addKeyValue("rejectionsPerSecond", rejectionsPerSecond)
			.log("endpoint announced rejection limit");
	}

	@Override
	public void loadUnreadable(EndpointId endpoint, String header) {
		this.endpoints.loadUnreadable(endpoint, header);
	}

	@Override
	public void tunnelOpened(String requestId, InetSocketAddress endpoint, String peer) {
		logTunnel("opened", requestId, endpoint, peer, null);
	}

	@Override
	public void tunnelFailed(String requestId, InetSocketAddress endpoint, String peer, String reason) {
		logTunnel("failed", requestId, endpoint, peer, reason);
	}

	@Override
	public void tunnelAccepted(String requestId, InetSocketAddress endpoint, InetSocketAddress from) {
		logTunnel("accepted", requestId, endpoint, from, null);
	}

	@Override
	public void tunnelRefused(String requestId, String target, InetSocketAddress from, TunnelRefusal reason) {
		logTunnel("refused", requestId, target, from, reason);
	}

	private void logTunnel(String outcome, String requestId, Object endpoint, Object peer, @Nullable Object reason) {
		this.tunnels.labelValues(outcome).inc();
		if (tryAcquireLine()) {
			log.atInfo()
				.addKeyValue("requestId", requestId)
				.addKeyValue("endpoint", endpoint)
				.addKeyValue("peer", peer)
				.addKeyValue("reason", reason)
				.log("tunnel " + outcome);
		}
	}

}
