package org.banyancove.gateway.resumption;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.WeightedService;
import org.jspecify.annotations.Nullable;

/**
 * The routes whose streams can only have begun at one version: their service, and its
 * only version, have been the same for longer than a caller may take to return.
 * <p>
 * Times are nanoseconds of the monotonic clock.
 */
public final class OnlyVersions {

	/**
	 * Time within which a caller returns, relative to its route's timeout: its deadline
	 * covers all its tries and may exceed the timeout of one.
	 */
	private static final int RETURN_TIMEOUT_FACTOR = 2;

	private final ListedVersions listedVersions;

	private final Duration maximumAge;

	private @Nullable Long confirmedAt;

	private final Map<ServiceName, Since<Set<String>>> versionsByService = new HashMap<>();

	private final Map<String, Since<List<WeightedService>>> servicesByRoute = new HashMap<>();

	/**
	 * Creates an empty record.
	 * @param listedVersions the versions that the store lists
	 * @param maximumAge the time for which another version may be listed, and have left
	 * again, without having begun streams
	 */
	public OnlyVersions(ListedVersions listedVersions, Duration maximumAge) {
		this.listedVersions = listedVersions;
		this.maximumAge = maximumAge;
	}

	/**
	 * Records the listed versions of services. Another version may have joined and left
	 * while the list was not confirmed for long; nothing of the time before is certain
	 * then.
	 * @param services the services
	 * @param now the current time
	 */
	public void recordVersions(Collection<ServiceName> services, long now) {
		Long confirmed = this.listedVersions.confirmedAt();
		if (confirmed != null && this.confirmedAt != null && confirmed - this.confirmedAt > this.maximumAge.toNanos()) {
			this.versionsByService.clear();
		}
		this.confirmedAt = confirmed;
		services.forEach((service) -> recordVersions(service, now));
	}

	private void recordVersions(ServiceName service, long now) {
		Set<String> listed = this.listedVersions.of(service);
		Since<Set<String>> recorded = this.versionsByService.get(service);
		if (!listed.isEmpty() && (recorded == null || !recorded.value().equals(listed))) {
			this.versionsByService.put(service, new Since<>(Set.copyOf(listed), now));
		}
	}

	private boolean isRecent(long now) {
		Long confirmed = this.listedVersions.confirmedAt();
		return confirmed != null && now - confirmed <= this.maximumAge.toNanos();
	}

	/**
	 * Returns whether the store has confirmed since a time which versions are listed; if
	 * not, reads it.
	 * @param time the monotonic time in ns
	 * @return whether {@link #originOf} knows every version that is listed since
	 */
	public boolean confirmedSince(long time) {
		return this.listedVersions.confirmedSince(time);
	}

	/**
	 * Records the routes of a configuration.
	 * @param routes the routes
	 * @param now the current time
	 */
	public void recordRoutes(List<Route> routes, long now) {
		Map<String, Since<List<WeightedService>>> updated = new HashMap<>();
		for (Route route : routes) {
			Since<List<WeightedService>> recorded = this.servicesByRoute.get(key(route));
			updated.put(key(route), (recorded != null && recorded.value().equals(route.services())) ? recorded
					: new Since<>(route.services(), now));
		}
		this.servicesByRoute.clear();
		this.servicesByRoute.putAll(updated);
	}

	private static String key(Route route) {
		return route.host() + route.pathPrefix();
	}

	/**
	 * Returns the origin of all streams of a route that can be resumed.
	 * @param route the route
	 * @param now the current time
	 * @return the origin, or {@code null} if there may be several
	 */
	public @Nullable KnownOrigin originOf(Route route, long now) {
		Since<List<WeightedService>> services = this.servicesByRoute.get(key(route));
		if (services == null || services.value().size() != 1 || !services.value().equals(route.services())
				|| !isRecent(now)) {
			return null;
		}
		ServiceName service = services.value().getFirst().service();
		recordVersions(List.of(service), now);
		Since<Set<String>> versions = this.versionsByService.get(service);
		if (versions == null || versions.value().size() != 1) {
			return null;
		}
		String version = versions.value().iterator().next();
		long unchanged = now - Math.max(services.at(), versions.at());
		if (version.isEmpty() || unchanged <= route.timeout().toNanos() * RETURN_TIMEOUT_FACTOR) {
			return null;
		}
		return new KnownOrigin(new StreamOrigin(service, version, null), KnownOrigin.Source.ONLY_VERSION,
				Duration.ofNanos(unchanged));
	}

	/**
	 * Returns whether a version is the only one that a service lists now.
	 * @param origin the service and version
	 * @param now the current time
	 * @return whether it lists no other
	 */
	public boolean listsOnly(StreamOrigin origin, long now) {
		recordVersions(List.of(origin.service()), now);
		Since<Set<String>> versions = this.versionsByService.get(origin.service());
		return versions != null && versions.value().equals(Set.of(origin.version()));
	}

	private record Since<T>(T value, long at) {
	}

}
