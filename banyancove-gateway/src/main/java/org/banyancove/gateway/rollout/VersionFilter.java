package org.banyancove.gateway.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.Endpoint;
import org.jspecify.annotations.Nullable;

/**
 * Filters the endpoints of a service by the versions that may serve a request.
 * <p>
 * The list of endpoints changes far less often than requests are placed, so the endpoints
 * are grouped by version once per list.
 */
public final class VersionFilter {

	/** Minimum number of canary endpoints: one may fail. */
	private static final int MINIMUM_CANARY_ENDPOINTS = 2;

	private final RolloutTable table;

	private final Map<ServiceName, VersionGroups> groupsByService = new HashMap<>();

	/**
	 * Creates a filter.
	 * @param table the state of the rollouts
	 */
	public VersionFilter(RolloutTable table) {
		this.table = table;
	}

	/**
	 * Returns the endpoints that may serve a request.
	 * @param service its service
	 * @param listed the service's endpoints
	 * @param choice the versions that may serve it
	 * @param now the current time
	 * @return the eligible endpoints
	 */
	public List<Endpoint> eligible(ServiceName service, List<Endpoint> listed, VersionChoice choice, long now) {
		VersionGroups groups = groupsFor(service, listed, now);
		if (groups.hasSingleVersion() && choice instanceof VersionChoice.Trusted) {
			return listed;
		}
		return switch (choice) {
			case VersionChoice.Trusted trusted -> trustedEndpoints(service, groups, null, now);
			case VersionChoice.Baseline baseline -> baselineEndpoints(service, groups, baseline.candidate(), now);
			case VersionChoice.Candidate candidate -> candidateEndpoints(service, groups, candidate, now);
		};
	}

	/**
	 * Returns the endpoints of one version, trusted or not.
	 * @param service the service
	 * @param listed the service's endpoints
	 * @param version the version
	 * @param now the current time
	 * @return the endpoints
	 */
	public List<Endpoint> ofVersion(ServiceName service, List<Endpoint> listed, String version, long now) {
		return groupsFor(service, listed, now).endpointsOf(version);
	}

	/**
	 * Records the versions of a service's endpoints. The versions listed first are
	 * trusted, even if no request arrives before another version is listed.
	 * @param service the service
	 * @param listed its endpoints
	 * @param now the current time
	 */
	public void recordVersions(ServiceName service, List<Endpoint> listed, long now) {
		groupsFor(service, listed, now);
	}

	// Compares identities since each change of an endpoint creates a new list.
	@SuppressWarnings("ReferenceEquality")
	private VersionGroups groupsFor(ServiceName service, List<Endpoint> listed, long now) {
		VersionGroups current = this.groupsByService.get(service);
		if (current != null && current.listed() == listed) {
			return current;
		}
		VersionGroups updated = new VersionGroups(listed,
				listed.stream().collect(Collectors.groupingBy((endpoint) -> endpoint.entry().version())));
		this.groupsByService.put(service, updated);
		Set<String> versions = updated.byVersion().keySet();
		versions.forEach((version) -> this.table.isTrusted(service, version, versions, now));
		return updated;
	}

	private List<Endpoint> trustedEndpoints(ServiceName service, VersionGroups groups, @Nullable String excluded,
			long now) {
		Set<String> versions = groups.byVersion().keySet();
		List<Endpoint> eligible = new ArrayList<>();
		groups.byVersion().forEach((version, endpoints) -> {
			if (!version.equals(excluded) && this.table.isTrusted(service, version, versions, now)) {
				eligible.addAll(endpoints);
			}
		});
		return eligible;
	}

	// Once the baseline has stopped, only the candidate is available. A gateway that
	// has just started may not have received the completion of the rollout yet.
	private List<Endpoint> baselineEndpoints(ServiceName service, VersionGroups groups, String candidate, long now) {
		List<Endpoint> eligible = trustedEndpoints(service, groups, candidate, now);
		boolean noDecision = this.table.decision(service) == null;
		return (eligible.isEmpty() && noDecision) ? groups.endpointsOf(candidate) : eligible;
	}

	private List<Endpoint> candidateEndpoints(ServiceName service, VersionGroups groups, VersionChoice.Candidate choice,
			long now) {
		List<Endpoint> endpoints = groups.endpointsOf(choice.candidate());
		if (endpoints.isEmpty()) {
			return trustedEndpoints(service, groups, choice.candidate(), now);
		}
		int count = Math.max(MINIMUM_CANARY_ENDPOINTS, (int) Math.ceil(choice.endpointShare() * endpoints.size()));
		return (count >= endpoints.size()) ? endpoints
				: endpoints.stream()
					.sorted(Comparator.comparingInt((endpoint) -> endpoint.id().value().hashCode()))
					.limit(count)
					.toList();
	}

	private record VersionGroups(List<Endpoint> listed, Map<String, List<Endpoint>> byVersion) {

		boolean hasSingleVersion() {
			return this.byVersion.size() <= 1;
		}

		List<Endpoint> endpointsOf(String version) {
			return this.byVersion.getOrDefault(version, List.of());
		}

	}

}
