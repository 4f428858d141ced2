package org.banyancove.gateway.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

import org.banyancove.core.EndpointId;
import org.banyancove.gateway.duty.EndpointLoad;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.ObservedRateLimit;
import org.banyancove.gateway.endpoint.ObservedSlowdown;
import org.banyancove.gateway.exchange.RequestLog;
import org.jspecify.annotations.Nullable;

/**
 * Reports what this gateway knows of endpoints to the other gateways and applies what
 * they report.
 * <p>
 * Times are nanoseconds of the monotonic clock. Confined to the event loop thread.
 */
final class EndpointReports {

	private final EndpointTable endpoints;

	private final RequestLog requestLog;

	EndpointReports(EndpointTable endpoints, RequestLog requestLog) {
		this.endpoints = endpoints;
		this.requestLog = requestLog;
	}

	/**
	 * Returns the load that this gateway places on each endpoint.
	 * @return the loads of the endpoints that have requests in flight
	 */
	Map<EndpointId, EndpointLoad> loads() {
		return collect((endpoint) -> (endpoint.inFlight() > 0)
				? new EndpointLoad(endpoint.inFlight(), endpoint.pendingPrefillTokens()) : null);
	}

	/**
	 * Returns the rate limits that endpoints declared.
	 * @param now the current time
	 * @return the newest known rate limits
	 */
	Map<EndpointId, ObservedRateLimit> rateLimits(long now) {
		return collect((endpoint) -> endpoint.rateLimiter().observed(now));
	}

	/**
	 * Returns the slowdowns that endpoints announced to this gateway.
	 * @param now the current time
	 * @return the recent slowdowns
	 */
	Map<EndpointId, ObservedSlowdown> slowdowns(long now) {
		return collect((endpoint) -> endpoint.observedSlowdown(now));
	}

	private <T> Map<EndpointId, T> collect(Function<Endpoint, @Nullable T> report) {
		Map<EndpointId, T> reports = new HashMap<>();
		for (Endpoint endpoint : this.endpoints.all()) {
			T value = report.apply(endpoint);
			if (value != null) {
				reports.put(endpoint.id(), value);
			}
		}
		return reports;
	}

	/**
	 * Applies what the other gateways reported.
	 * @param view the view of the other gateways
	 * @param now the current time
	 */
	void apply(FleetView view, long now) {
		applyRateLimits(view, now);
		for (Endpoint endpoint : this.endpoints.all()) {
			EndpointLoad load = view.loads().getOrDefault(endpoint.id(), EndpointLoad.NONE);
			endpoint.updateRemoteLoad(load.inFlight(), load.pendingPrefillTokens());
			ObservedSlowdown slowdown = view.slowdowns().get(endpoint.id());
			if (slowdown != null) {
				endpoint.observeSlowdown(slowdown, now);
			}
		}
	}

	private void applyRateLimits(FleetView view, long now) {
		view.rateLimits().forEach((id, limit) -> {
			Endpoint endpoint = this.endpoints.get(id);
			Double requestsPerSecond = limit.requestsPerSecond();
			if (endpoint != null
					&& endpoint.rateLimiter().observe(requestsPerSecond, now - limit.age().toNanos(), now)) {
				this.requestLog.rateLimitChanged(id, requestsPerSecond);
			}
		});
	}

	/**
	 * Returns the number of endpoints that are considerably slower than usual.
	 * @param now the current time
	 * @return the number of endpoints whose announced slowdown is above 1.5
	 */
	int slowedEndpoints(long now) {
		return this.endpoints.all()
			.stream()
			.mapToInt((endpoint) -> endpoint.latency().slowdown().slowed(now) ? 1 : 0)
			.sum();
	}

}
