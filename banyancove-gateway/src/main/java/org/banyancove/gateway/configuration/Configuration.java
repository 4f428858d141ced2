package org.banyancove.gateway.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * A version of the gateway configuration.
 */
public final class Configuration {

	private final long version;

	private final List<Route> routes;

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Map<ServiceName, Service> services = new HashMap<>();

	private final Map<String, ClientAccount> accountsByKey = new HashMap<>();

	private final List<ClientAccount> accounts;

	private final CallerLimits limits;

	/**
	 * Creates a version of the configuration.
	 * @param version the version number; a higher number is newer
	 * @param routes the routes
	 * @param services the services
	 * @param accounts the client accounts; empty if requests require no keys
	 * @param limits the limits for callers
	 */
	public Configuration(long version, List<Route> routes, List<Service> services, List<ClientAccount> accounts,
			CallerLimits limits) {
		this.version = version;
		this.routes = List.copyOf(routes);
		for (Route route : routes) {
			this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		this.routesByHost.values()
			.forEach((list) -> list
				.sort(Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed()));
		services.forEach((service) -> this.services.put(service.name(), service));
		this.accounts = List.copyOf(accounts);
		for (ClientAccount account : accounts) {
			account.keys().forEach((key) -> this.accountsByKey.put(key, account));
		}
		this.limits = limits;
	}

	/**
	 * Returns the version number.
	 * @return the version number
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits for callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns all routes.
	 * @return the routes
	 */
	public List<Route> routes() {
		return this.routes;
	}

	/**
	 * Returns the route with the longest prefix of a path.
	 * @param host the value of the host header
	 * @param path the path, without its query
	 * @return the route, or {@code null} if none matches
	 */
	public @Nullable Route route(String host, String path) {
		int port = host.indexOf(':');
		String name = ((port < 0) ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
		for (Route route : this.routesByHost.getOrDefault(name, List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return route;
			}
		}
		return null;
	}

	/**
	 * Returns a service.
	 * @param name the service's name
	 * @return the service, or {@code null} if it is not configured
	 */
	public @Nullable Service service(ServiceName name) {
		return this.services.get(name);
	}

	/**
	 * Returns all services.
	 * @return the services
	 */
	public List<Service> services() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Returns the names of all services.
	 * @return the names
	 */
	public Set<ServiceName> serviceNames() {
		return Collections.unmodifiableSet(this.services.keySet());
	}

	/**
	 * Returns all client accounts.
	 * @return the accounts; empty if requests require no keys
	 */
	public List<ClientAccount> accounts() {
		return this.accounts;
	}

	/**
	 * Returns the quota of a client account.
	 * @param name the account's name
	 * @return the quota, or {@code null} if the account is unknown or has none
	 */
	public @Nullable TokenQuota quota(AccountName name) {
		for (ClientAccount account : this.accounts) {
			if (account.name().equals(name)) {
				return account.quota();
			}
		}
		return null;
	}

	/**
	 * Returns the client account that a key belongs to.
	 * @param key the key
	 * @return the account, or {@code null} if the key is unknown
	 */
	public @Nullable ClientAccount accountForKey(String key) {
		return this.accountsByKey.get(key);
	}

}
