package org.banyancove.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.MachineClass;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.profile.Profile;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints available to this entry, with the state observed of each.
 * <p>
 * A reclaim notice is final: no list makes a VM with a notice live again, since the list
 * lags behind the notices and VM identifiers are never reused. An endpoint that was lost
 * without a notice becomes live again when a list that is newer than the loss plus a
 * backoff contains it. The backoff doubles with each consecutive loss.
 * <p>
 * Confined to the tick loop; not thread-safe.
 */
public final class EndpointTable {

	/** Maximum number of retained notices; the oldest are evicted first. */
	private static final int MAXIMUM_NOTICES = 20_000;

	/**
	 * Maximum number of remote endpoints of a service without an endpoint in this region.
	 */
	static final int MAXIMUM_REMOTE_ENDPOINTS = Candidates.MAXIMUM_SIZE;

	private static final Duration INITIAL_BACKOFF = Duration.ofSeconds(1);

	private static final int MAXIMUM_BACKOFF_DOUBLINGS = 6;

	/** Keeps callers from retrying in a busy loop. */
	private static final double MINIMUM_RETRY_AFTER_SECONDS = 0.1;

	private final Map<EndpointId, Endpoint> endpoints = new HashMap<>();

	private final Map<VmId, Set<EndpointId>> byVm = new HashMap<>();

	private final Map<ServiceName, ServiceEndpoints> services = new HashMap<>();

	private final Map<ClassKey, LatencyEstimate> classLatencies = new HashMap<>();

	private final NameInterner interner = new NameInterner();

	private final EndpointRegion region;

	private final long salt;

	private final Map<VmId, Instant> notices = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<VmId, Instant> eldest) {
			return size() > MAXIMUM_NOTICES;
		}
	};

	/**
	 * Creates a table that keeps the endpoints of all regions.
	 */
	public EndpointTable() {
		this(EndpointRegion.ALL, 0);
	}

	/**
	 * Creates a table that keeps the endpoints of one region.
	 * @param region the region
	 * @param salt a number that differs between entries, so that the entries of a region
	 * do not all select the same remote endpoints
	 */
	public EndpointTable(EndpointRegion region, long salt) {
		this.region = region;
		this.salt = salt;
	}

	/**
	 * Applies the platform's list. Keeps the endpoints of the region and, for a service
	 * without an endpoint in the region, a bounded number of remote endpoints. Remote
	 * endpoints are removed once the region has an endpoint of the service and no attempt
	 * runs at them.
	 * @param live the live endpoints on the list
	 * @param asOf the time at which the list is valid
	 */
	public void applyList(Collection<EndpointDefinition> live, Instant asOf) {
		List<EndpointDefinition> remote = new ArrayList<>();
		for (EndpointDefinition definition : live) {
			if (this.region.contains(definition.dataCenter())) {
				put(definition, asOf);
			}
			else {
				remote.add(definition);
			}
		}
		if (!remote.isEmpty()) {
			applyRemote(remote, asOf);
		}
	}

	/**
	 * Adds an endpoint or updates its definition.
	 * @param definition the endpoint's entry in the platform's list
	 * @param asOf the time at which the list is valid
	 */
	public void put(EndpointDefinition definition, Instant asOf) {
		Endpoint known = this.endpoints.get(definition.id());
		if (known == null) {
			add(definition);
			return;
		}
		update(known, definition);
		known.discardBefore(Seconds.of(asOf));
		updateCapacity(known);
		// A lagging list may still contain an endpoint that was lost after its reclaim
		// notice.
		if (known.state() == EndpointState.GONE && known.reclaimAt() == null
				&& isBackoffOver(known, Seconds.of(asOf))) {
			known.markLive();
			service(definition.service()).add(known);
		}
	}

	/**
	 * Applies a reclaim notice: the VM's endpoints receive no new work.
	 * @param vm the VM
	 * @param reclaimAt when the VM is reclaimed
	 * @param now the current time
	 */
	public void markLeaving(VmId vm, Instant reclaimAt, Instant now) {
		this.notices.putIfAbsent(vm, reclaimAt);
		for (EndpointId id : this.byVm.getOrDefault(vm, Set.of())) {
			markLeaving(id, reclaimAt, now);
		}
	}

	/**
	 * Marks one endpoint as leaving: it receives no new work.
	 * @param id the endpoint
	 * @param reclaimAt when its VM is reclaimed
	 * @param now the current time
	 */
	public void markLeaving(EndpointId id, Instant reclaimAt, Instant now) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint == null) {
			return;
		}
		removeFromService(endpoint, now);
		endpoint.markLeaving(reclaimAt);
	}

	/**
	 * Marks an endpoint as lost: its process or VM ended together with all running
	 * attempts.
	 * @param id the endpoint
	 * @param now the current time
	 */
	public void markGone(EndpointId id, Instant now) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint == null) {
			return;
		}
		removeFromService(endpoint, now);
		service(endpoint.definition().service()).addOwnInFlight(-endpoint.ownInFlight());
		endpoint.markGone(Seconds.of(now));
	}

	/**
	 * Removes an endpoint that is no longer listed.
	 * @param id the endpoint
	 * @param now the current time
	 */
	public void remove(EndpointId id, Instant now) {
		Endpoint endpoint = this.endpoints.remove(id);
		if (endpoint == null) {
			return;
		}
		removeFromService(endpoint, now);
		service(endpoint.definition().service()).addOwnInFlight(-endpoint.ownInFlight());
		endpoint.markGone(Seconds.of(now));
		this.byVm.computeIfPresent(endpoint.definition().vm(), (vm, ids) -> without(ids, id));
	}

	/**
	 * Finds an endpoint.
	 * @param id the endpoint's identifier
	 * @return the endpoint, empty if it is not in the table
	 */
	public Optional<Endpoint> find(EndpointId id) {
		return Optional.ofNullable(this.endpoints.get(id));
	}

	/**
	 * Returns a read-only view of all endpoints, in no particular order.
	 * @return the endpoints
	 */
	public Collection<Endpoint> all() {
		return Collections.unmodifiableCollection(this.endpoints.values());
	}

	/**
	 * Returns the identifiers of a VM's endpoints.
	 * @param vm the VM
	 * @return the identifiers
	 */
	public Set<EndpointId> onVm(VmId vm) {
		return Collections.unmodifiableSet(this.byVm.getOrDefault(vm, Set.of()));
	}

	/**
	 * Returns the live endpoints of a service.
	 * @param service the service
	 * @return the endpoints
	 */
	public List<Endpoint> byService(ServiceName service) {
		EndpointGroup live = service(service).live();
		List<Endpoint> result = new ArrayList<>(live.size());
		for (int i = 0; i < live.size(); i++) {
			result.add(live.get(i));
		}
		return result;
	}

	/**
	 * Returns the number of live endpoints of a service.
	 * @param service the service
	 * @return the number of endpoints
	 */
	public int liveCount(ServiceName service) {
		return service(service).live().size();
	}

	/**
	 * Returns the free capacity of a service's endpoints within their concurrency limits.
	 * @param service the service
	 * @return the number of requests, possibly fractional
	 */
	public double freeCapacity(ServiceName service) {
		return service(service).freeCapacity();
	}

	/**
	 * Returns whether most of a service's endpoints are past slow start. During slow
	 * start the free capacity grows with each answer, so a wait cannot be predicted from
	 * it.
	 * @param service the service
	 * @return {@code true} if most are past slow start
	 */
	public boolean isCapacityKnown(ServiceName service) {
		return service(service).isCapacityKnown();
	}

	/**
	 * Returns the moving average of the time from sending an attempt to its first token.
	 * @param service the service
	 * @return the average, zero without observations
	 */
	public Duration meanFirstToken(ServiceName service) {
		return Seconds.toDuration(service(service).meanFirstToken());
	}

	/**
	 * Returns the number of this entry's attempts running at a service's endpoints,
	 * including leaving endpoints.
	 * @param service the service
	 * @return the number of attempts
	 */
	public int ownInFlight(ServiceName service) {
		return service(service).ownInFlight();
	}

	/**
	 * Returns the retry delay of a request that no endpoint may serve. The longer the
	 * service has had no endpoint, the longer the outage is likely to last.
	 * @param service the service
	 * @param profile the request's profile, whose deadline is the maximum delay
	 * @param now the current time
	 * @return the delay
	 */
	public Duration retryAfterNoEndpoint(ServiceName service, Profile profile, Instant now) {
		ServiceEndpoints endpoints = service(service);
		double secondsWithoutEndpoint = Seconds.of(now) - endpoints.emptySince();
		double seconds = (Double.isNaN(secondsWithoutEndpoint) ? endpoints.minimumFirstTokenSeconds()
				: secondsWithoutEndpoint);
		double maximum = Seconds.of(profile.deadline());
		return Seconds.toDuration(Math.clamp(seconds, MINIMUM_RETRY_AFTER_SECONDS, maximum));
	}

	/**
	 * Applies an endpoint's load report. A report older than the last one is ignored.
	 * @param id the endpoint
	 * @param report the report
	 */
	public void loadReported(EndpointId id, LoadReport report) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint != null && endpoint.state() != EndpointState.GONE) {
			endpoint.updateLoad(report);
			updateCapacity(endpoint);
		}
	}

	/**
	 * Applies a cache event of an engine.
	 * @param id the engine
	 * @param change the event
	 */
	public void cacheChanged(EndpointId id, CacheChange change) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint == null || !endpoint.recordCacheEvent(change.sequence())) {
			return;
		}
		PrefixIndex prefixes = service(endpoint.definition().service()).prefixes();
		switch (change.kind()) {
			case STORED -> prefixes.stored(endpoint, change.prefix());
			case EVICTED -> prefixes.evicted(endpoint, change.prefix());
		}
	}

	/**
	 * Records the requests that a peer has sent to an endpoint since its previous report.
	 * @param id the endpoint
	 * @param count the number of requests
	 * @param sentAt the approximate time of sending
	 */
	public void peerSent(EndpointId id, int count, Instant sentAt) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint != null) {
			endpoint.recordSentByPeers(count, Seconds.of(sentAt));
			updateCapacity(endpoint);
		}
	}

	/**
	 * Records the start of an attempt.
	 * @param placed the placement of the attempt
	 * @param request the request
	 * @param now the current time
	 */
	public void attemptStarted(PlacementDecision.Placed placed, PlacementRequest request, Instant now) {
		Endpoint endpoint = this.endpoints.get(placed.endpoint());
		if (endpoint == null) {
			return;
		}
		double firstTokenTarget = Seconds.of(request.profile().firstTokenTarget());
		double tokenTarget = Seconds.of(request.profile().tokenTarget());
		endpoint.startAttempt(request.request(), placed.uncachedTokens(), firstTokenTarget, tokenTarget,
				Seconds.of(now));
		ServiceEndpoints service = service(endpoint.definition().service());
		service.addOwnInFlight(1);
		service.updateCapacity(endpoint);
		PrefixIndex prefixes = service.prefixes();
		for (PromptPrefix prefix : request.prefixes()) {
			prefixes.stored(endpoint, prefix);
		}
	}

	/**
	 * Records the first token of an attempt, or the answer of a plain service.
	 * @param id the endpoint
	 * @param request the request
	 * @param now the current time
	 */
	public void firstTokenReceived(EndpointId id, RequestId request, Instant now) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint == null) {
			return;
		}
		double seconds = Seconds.of(now);
		Attempt attempt = endpoint.recordFirstToken(request, seconds);
		updateCapacity(endpoint);
		if (attempt != null) {
			service(endpoint.definition().service()).observeFirstToken(seconds - attempt.startedAt());
			classLatency(endpoint).observeFirstToken(attempt.workTokens(), seconds - attempt.startedAt());
		}
	}

	/**
	 * Records tokens after the first.
	 * @param id the endpoint
	 * @param request the request
	 * @param count the number of tokens received
	 * @param now the current time
	 */
	public void tokensReceived(EndpointId id, RequestId request, int count, Instant now) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint != null) {
			endpoint.recordTokens(request, count, Seconds.of(now));
		}
	}

	/**
	 * Records the end of an attempt.
	 * @param id the endpoint
	 * @param request the request
	 * @param outcome how it ended
	 * @param now the current time
	 */
	public void attemptEnded(EndpointId id, RequestId request, AttemptOutcome outcome, Instant now) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint == null) {
			return;
		}
		Attempt attempt = endpoint.endAttempt(request, outcome, Seconds.of(now));
		if (attempt == null) {
			return;
		}
		service(endpoint.definition().service()).addOwnInFlight(-1);
		updateCapacity(endpoint);
		if (outcome == AttemptOutcome.COMPLETED && attempt.tokenCount() > 0) {
			classLatency(endpoint).observePerToken(attempt.concurrency(), attempt.secondsPerToken());
		}
	}

	private void applyRemote(List<EndpointDefinition> remote, Instant asOf) {
		Set<ServiceName> servedLocally = new HashSet<>();
		for (Endpoint endpoint : this.endpoints.values()) {
			if (endpoint.isLive() && this.region.contains(endpoint.dataCenter())) {
				servedLocally.add(endpoint.definition().service());
			}
		}
		Map<ServiceName, List<EndpointDefinition>> needed = new HashMap<>();
		for (EndpointDefinition definition : remote) {
			Endpoint known = this.endpoints.get(definition.id());
			if (!servedLocally.contains(definition.service())) {
				needed.computeIfAbsent(definition.service(), (name) -> new ArrayList<>()).add(definition);
			}
			else if (known != null && known.ownInFlight() == 0) {
				remove(definition.id(), asOf);
			}
		}
		needed.values().forEach((definitions) -> addRemote(definitions, asOf));
	}

	// Selects the endpoints with the lowest hashes, so that the next list selects the
	// same ones and their observed state is kept.
	private void addRemote(List<EndpointDefinition> definitions, Instant asOf) {
		definitions.sort(Comparator.comparingLong((EndpointDefinition definition) -> hash(definition.id()))
			.thenComparing(EndpointDefinition::id));
		definitions.removeIf((definition) -> this.notices.containsKey(definition.vm()));
		definitions.stream().limit(MAXIMUM_REMOTE_ENDPOINTS).forEach((definition) -> put(definition, asOf));
	}

	private long hash(EndpointId id) {
		long hash = (this.salt ^ id.hashCode()) * 0x9E3779B97F4A7C15L;
		return hash ^ (hash >>> 32);
	}

	private void updateCapacity(Endpoint endpoint) {
		service(endpoint.definition().service()).updateCapacity(endpoint);
	}

	ServiceEndpoints service(ServiceName service) {
		return this.services.computeIfAbsent(service, (name) -> new ServiceEndpoints());
	}

	private void add(EndpointDefinition listed) {
		EndpointDefinition definition = this.interner.intern(listed);
		Endpoint endpoint = new Endpoint(definition);
		endpoint.latency().initializeFrom(classLatency(endpoint));
		this.endpoints.put(definition.id(), endpoint);
		this.byVm.merge(definition.vm(), Set.of(definition.id()), EndpointTable::with);
		Instant notice = this.notices.get(definition.vm());
		if (notice != null) {
			endpoint.markLeaving(notice);
			return;
		}
		service(definition.service()).add(endpoint);
	}

	private void update(Endpoint endpoint, EndpointDefinition listed) {
		EndpointDefinition old = endpoint.definition();
		if (old.equals(listed)) {
			return;
		}
		EndpointDefinition definition = this.interner.intern(listed);
		service(old.service()).addOwnInFlight(-endpoint.ownInFlight());
		service(definition.service()).addOwnInFlight(endpoint.ownInFlight());
		if (!endpoint.isLive()) {
			endpoint.updateDefinition(definition);
			return;
		}
		service(old.service()).remove(endpoint, endpoint.goneAt());
		endpoint.updateDefinition(definition);
		service(definition.service()).add(endpoint);
	}

	private void removeFromService(Endpoint endpoint, Instant now) {
		if (endpoint.isLive()) {
			service(endpoint.definition().service()).remove(endpoint, Seconds.of(now));
		}
	}

	private LatencyEstimate classLatency(Endpoint endpoint) {
		EndpointDefinition definition = endpoint.definition();
		ClassKey key = new ClassKey(definition.service(), definition.machineClass());
		return this.classLatencies.computeIfAbsent(key, (unused) -> new LatencyEstimate());
	}

	private static boolean isBackoffOver(Endpoint endpoint, double asOf) {
		// A process that crashes on every start stays listed for as long as its VM runs,
		// so the backoff grows.
		int doublings = Math.min(MAXIMUM_BACKOFF_DOUBLINGS, endpoint.consecutiveLosses() - 1);
		double backoffSeconds = Seconds.of(INITIAL_BACKOFF) * (1 << Math.max(0, doublings));
		return asOf >= endpoint.goneAt() + backoffSeconds;
	}

	// Most VMs have one endpoint, and an immutable set of one element takes a fifth of
	// the memory.
	private static Set<EndpointId> with(Set<EndpointId> ids, Set<EndpointId> more) {
		Set<EndpointId> all = new HashSet<>(ids);
		all.addAll(more);
		return all;
	}

	private static @Nullable Set<EndpointId> without(Set<EndpointId> ids, EndpointId id) {
		Set<EndpointId> rest = new HashSet<>(ids);
		rest.remove(id);
		return (rest.isEmpty() ? null : rest);
	}

	private record ClassKey(ServiceName service, MachineClass machineClass) {
	}

}
