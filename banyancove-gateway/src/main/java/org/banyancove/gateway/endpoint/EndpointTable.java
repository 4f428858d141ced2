package org.banyancove.gateway.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.Service;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints that are known.
 */
public final class EndpointTable {

	/**
	 * How long an endpoint is kept whose entry lapsed while the platform's store was
	 * away: live ones are listed again within two seconds of its return, and one that has
	 * left must get nothing two seconds after the store said so, up to one of which
	 * passes until that is read.
	 */
	private static final Duration LAPSE_GRACE = Duration.ofMillis(900);

	/** After the store's return, how long a lapse may be due to its absence. */
	private static final Duration DOUBT = Duration.ofSeconds(2);

	private final Map<EndpointId, Endpoint> endpoints = new LinkedHashMap<>();

	private final Map<ServiceName, List<Endpoint>> byService = new HashMap<>();

	private final Map<ServiceName, PrefillLatency> prefills = new HashMap<>();

	private final RateLimitAllotment rateLimitAllotment;

	private @Nullable Configuration configuration;

	/**
	 * Creates the table.
	 * @param rateLimitAllotment allots the rate limits of endpoints
	 */
	public EndpointTable(RateLimitAllotment rateLimitAllotment) {
		this.rateLimitAllotment = rateLimitAllotment;
	}

	/**
	 * Records a new configuration, which says what the services are. Endpoints may have
	 * been listed before it was read.
	 * @param newest the configuration
	 */
	public void configure(Configuration newest) {
		this.configuration = newest;
		this.byService.clear();
		this.endpoints.values().forEach(this::describe);
	}

	private void describe(Endpoint endpoint) {
		Service service = (this.configuration != null) ? this.configuration.service(endpoint.entry().service()) : null;
		if (service != null) {
			endpoint.describe(service.memory());
		}
	}

	/**
	 * Records what an endpoint reports of itself.
	 * @param entry the entry
	 */
	public void put(EndpointEntry entry) {
		Endpoint known = this.endpoints.get(entry.id());
		boolean changed = known == null || !known.entry().equals(entry);
		if (known != null && known.entry().service().equals(entry.service())) {
			known.update(entry);
		}
		else {
			Endpoint listed = new Endpoint(entry, null,
					this.prefills.computeIfAbsent(entry.service(), (service) -> new PrefillLatency()),
					this.rateLimitAllotment);
			describe(listed);
			this.endpoints.put(entry.id(), listed);
		}
		if (changed) {
			this.byService.clear();
		}
	}

	/**
	 * Removes an endpoint that is no longer listed.
	 * @param id its identifier
	 */
	public void remove(EndpointId id) {
		if (this.endpoints.remove(id) != null) {
			this.byService.clear();
		}
	}

	/**
	 * Records that an endpoint is no longer listed. It is taken out at once, or, right
	 * after an outage of the store, if it does not come back.
	 * @param id its identifier
	 * @param sinceOutage since the store last failed, or {@code null} if it never did
	 * @param now the present time
	 */
	public void unlisted(EndpointId id, @Nullable Duration sinceOutage, long now) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint == null) {
			return;
		}
		if (sinceOutage != null && sinceOutage.compareTo(DOUBT) < 0 && !endpoint.entry().draining()) {
			endpoint.lapsed(now);
		}
		else {
			remove(id);
		}
	}

	/**
	 * Removes the endpoints that lapsed and did not come back.
	 * @param now the present time
	 * @return those taken out
	 */
	public List<EndpointId> expire(long now) {
		List<EndpointId> expired = new ArrayList<>();
		for (Endpoint endpoint : this.endpoints.values()) {
			Long lapsedAt = endpoint.lapsedAt();
			if (lapsedAt != null && now - lapsedAt > LAPSE_GRACE.toNanos()) {
				expired.add(endpoint.id());
			}
		}
		expired.forEach(this::remove);
		return expired;
	}

	/**
	 * Returns the endpoints of a service.
	 * @param service the service
	 * @return its endpoints, those that are leaving included
	 */
	public List<Endpoint> listed(ServiceName service) {
		return this.byService.computeIfAbsent(service, this::find);
	}

	private List<Endpoint> find(ServiceName service) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.entry().service().equals(service))
			.toList();
	}

	/**
	 * Returns all endpoints.
	 * @return the endpoints
	 */
	public Collection<Endpoint> all() {
		return List.copyOf(this.endpoints.values());
	}

	/**
	 * Returns an endpoint.
	 * @param id its identifier
	 * @return the endpoint, or {@code null} if it is not known
	 */
	public @Nullable Endpoint get(EndpointId id) {
		return this.endpoints.get(id);
	}

}
