package org.banyancove.gateway.endpoint;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.Service;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints that the platform's store lists, indexed by identifier and service.
 */
public final class EndpointTable {

	/**
	 * Time for which an endpoint is kept whose entry expired during an outage of the
	 * platform's store. Live endpoints are listed again within two seconds of the store's
	 * recovery. An endpoint that was removed must receive no request two seconds after
	 * the store recorded the removal, and reading that takes up to one second.
	 */
	private static final Duration UNLISTED_GRACE_PERIOD = Duration.ofMillis(900);

	/**
	 * Time after the store's recovery during which an entry may be unlisted because of
	 * the outage.
	 */
	private static final Duration POST_OUTAGE_PERIOD = Duration.ofSeconds(2);

	/** Time for which a removed endpoint is remembered. */
	private static final Duration REMOVED_RETENTION = Duration.ofMinutes(5);

	private static final int MAXIMUM_REMOVED = 512;

	private final Map<EndpointId, Endpoint> endpoints = new LinkedHashMap<>();

	/** Removed endpoints, the oldest first. */
	private final Map<EndpointId, RemovedEndpoint> removed = new LinkedHashMap<>();

	private final Map<ServiceName, List<Endpoint>> byService = new HashMap<>();

	/** All endpoints, or {@code null} after a change. */
	private @Nullable List<Endpoint> all;

	private final Map<ServiceName, PrefillLatency> prefillLatencies = new HashMap<>();

	private final Map<ServiceName, RejectionTolerance> rejectionTolerances = new HashMap<>();

	private final Map<ServiceName, EndpointPartition> partitions = new HashMap<>();

	private final FleetAllocation fleetAllocation;

	private @Nullable Configuration configuration;

	/**
	 * Creates the table.
	 * @param fleetAllocation allocates the limits of endpoints to the gateways
	 */
	public EndpointTable(FleetAllocation fleetAllocation) {
		this.fleetAllocation = fleetAllocation;
	}

	/**
	 * Applies a new configuration, also to the endpoints that were listed before it was
	 * read.
	 * @param newConfiguration the configuration
	 */
	public void configure(Configuration newConfiguration) {
		this.configuration = newConfiguration;
		clearLists();
		this.endpoints.values().forEach(this::applyConfiguration);
		newConfiguration.serviceNames().forEach((service) -> partition(service).configure(targets(service)));
	}

	private SortedSet<Duration> targets(ServiceName service) {
		SortedSet<Duration> targets = new TreeSet<>();
		for (Route route : Objects.requireNonNull(this.configuration).routes()) {
			if (route.services().stream().anyMatch((weighted) -> weighted.service().equals(service))) {
				targets.add(route.latencyTarget());
			}
		}
		return targets;
	}

	/**
	 * Returns the division of a service's endpoints by latency target.
	 * @param service the service
	 * @return the division
	 */
	EndpointPartition partition(ServiceName service) {
		return this.partitions.computeIfAbsent(service, (name) -> new EndpointPartition());
	}

	private void applyConfiguration(Endpoint endpoint) {
		Service service = (this.configuration != null) ? this.configuration.service(endpoint.entry().service()) : null;
		if (service != null) {
			endpoint.setMemory(service.memory());
		}
	}

	/**
	 * Adds or updates an endpoint. One that was removed lately, such as during an outage
	 * of the store, keeps the pause that it asked for.
	 * @param read the endpoint's entry
	 */
	public void put(EndpointEntry read) {
		restore(read);
		Endpoint existing = this.endpoints.get(read.id());
		EndpointEntry entry = (existing != null) ? read.keepingLeaveTime(existing.entry()) : read;
		boolean changed = existing == null || !existing.entry().equals(entry);
		if (existing != null && existing.entry().service().equals(entry.service())) {
			existing.update(entry);
		}
		else {
			Endpoint added = new Endpoint(entry, null,
					this.prefillLatencies.computeIfAbsent(entry.service(), (service) -> new PrefillLatency()),
					this.rejectionTolerances.computeIfAbsent(entry.service(), (service) -> new RejectionTolerance()),
					this.fleetAllocation, partition(entry.service()));
			applyConfiguration(added);
			this.endpoints.put(entry.id(), added);
		}
		if (changed) {
			clearLists();
		}
	}

	private void restore(EndpointEntry entry) {
		RemovedEndpoint earlier = this.removed.remove(entry.id());
		if (earlier != null && earlier.endpoint().entry().service().equals(entry.service())) {
			applyConfiguration(earlier.endpoint());
			this.endpoints.put(entry.id(), earlier.endpoint());
			clearLists();
		}
	}

	/**
	 * Removes an endpoint, if it is present.
	 * @param id the endpoint's identifier
	 * @param now the current time
	 */
	public void remove(EndpointId id, long now) {
		Endpoint endpoint = this.endpoints.remove(id);
		if (endpoint == null) {
			return;
		}
		clearLists();
		this.removed.put(id, new RemovedEndpoint(endpoint, now));
		if (this.removed.size() > MAXIMUM_REMOVED) {
			this.removed.remove(this.removed.keySet().iterator().next());
		}
	}

	/**
	 * Records that an endpoint is no longer listed. It is removed immediately or, shortly
	 * after an outage of the store, unless it is listed again within the grace period.
	 * @param id the endpoint's identifier
	 * @param sinceOutage the time since the store last failed, or {@code null} if it
	 * never failed
	 * @param now the current time
	 */
	public void unlisted(EndpointId id, @Nullable Duration sinceOutage, long now) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint == null) {
			return;
		}
		if (sinceOutage != null && sinceOutage.compareTo(POST_OUTAGE_PERIOD) < 0 && !endpoint.draining()) {
			endpoint.markUnlisted(now);
		}
		else {
			remove(id, now);
		}
	}

	/**
	 * Removes the unlisted endpoints whose grace period has passed.
	 * @param now the current time
	 * @return the identifiers of the removed endpoints
	 */
	public List<EndpointId> removeExpired(long now) {
		List<EndpointId> expired = new ArrayList<>();
		for (Endpoint endpoint : this.endpoints.values()) {
			Long unlistedAt = endpoint.unlistedAt();
			if (unlistedAt != null && now - unlistedAt > UNLISTED_GRACE_PERIOD.toNanos()) {
				expired.add(endpoint.id());
			}
		}
		expired.forEach((id) -> remove(id, now));
		this.removed.values().removeIf((endpoint) -> now - endpoint.at() > REMOVED_RETENTION.toNanos());
		return expired;
	}

	/**
	 * Returns the endpoints of a service.
	 * @param service the service
	 * @return its endpoints, draining ones included
	 */
	public List<Endpoint> endpointsOf(ServiceName service) {
		return this.byService.computeIfAbsent(service, this::findByService);
	}

	private List<Endpoint> findByService(ServiceName service) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.entry().service().equals(service))
			.toList();
	}

	/**
	 * Returns whether the process of an endpoint, listed or removed lately, is known not
	 * to have ended at a time.
	 * @param id the endpoint's identifier
	 * @param time the time
	 * @return whether the same process answered later
	 */
	public boolean wasAlive(EndpointId id, long time) {
		Endpoint endpoint = listedOrRemoved(id);
		return endpoint != null && endpoint.processLife().includes(time);
	}

	/**
	 * Returns the data center of an endpoint, listed or removed lately.
	 * @param id the endpoint's identifier
	 * @return its data center, or {@code null} if the endpoint is unknown
	 */
	public @Nullable DataCenterName dataCenterOf(EndpointId id) {
		Endpoint endpoint = listedOrRemoved(id);
		return (endpoint != null) ? endpoint.entry().dataCenter() : null;
	}

	/**
	 * Returns the division of the endpoints of each service that was configured.
	 * @return the divisions by service
	 */
	public Map<ServiceName, EndpointPartition> partitions() {
		return Map.copyOf(this.partitions);
	}

	private @Nullable Endpoint listedOrRemoved(EndpointId id) {
		RemovedEndpoint earlier = this.removed.get(id);
		return (earlier != null) ? earlier.endpoint() : this.endpoints.get(id);
	}

	/**
	 * Returns all endpoints.
	 * @return the endpoints
	 */
	public Collection<Endpoint> all() {
		List<Endpoint> current = this.all;
		if (current == null) {
			current = List.copyOf(this.endpoints.values());
			this.all = current;
		}
		return current;
	}

	private void clearLists() {
		this.byService.clear();
		this.all = null;
	}

	/**
	 * Returns the allocation of what all gateways share.
	 * @return the allocation
	 */
	public FleetAllocation fleetAllocation() {
		return this.fleetAllocation;
	}

	/**
	 * Returns an endpoint.
	 * @param id the endpoint's identifier
	 * @return the endpoint, or {@code null} if it is not listed
	 */
	public @Nullable Endpoint get(EndpointId id) {
		return this.endpoints.get(id);
	}

	/**
	 * Returns whether an address is that of an endpoint.
	 * @param address the address
	 * @return whether an endpoint that is not draining is listed with it
	 */
	public boolean isListed(InetSocketAddress address) {
		return this.endpoints.values()
			.stream()
			.anyMatch((endpoint) -> endpoint.entry().address().equals(address) && !endpoint.draining());
	}

	private record RemovedEndpoint(Endpoint endpoint, long at) {
	}

}
