package org.banyancove.entry.endpoint;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.banyancove.core.EndpointId;

/**
 * The HTTP clients for endpoints. Thread-safe.
 * <p>
 * All endpoints share one client until a connection to one of them fails or becomes
 * unresponsive. That endpoint then gets a client of its own, because the JDK's pool would
 * reuse the unresponsive connection and every request on it would wait for its full
 * timeout.
 */
final class EndpointConnections implements AutoCloseable {

	private final Duration connectTimeout;

	private final HttpClient sharedClient;

	private final Map<EndpointId, HttpClient> dedicatedClients = new ConcurrentHashMap<>();

	EndpointConnections(Duration connectTimeout) {
		this.connectTimeout = connectTimeout;
		this.sharedClient = newClient();
	}

	HttpClient client(EndpointId endpoint) {
		return this.dedicatedClients.getOrDefault(endpoint, this.sharedClient);
	}

	// Ensures that the endpoint's next request uses a new connection. Requests in flight
	// on the previous client continue.
	void replace(EndpointId endpoint) {
		HttpClient previous = this.dedicatedClients.put(endpoint, newClient());
		if (previous != null) {
			previous.shutdown();
		}
	}

	// Shuts down the client of an endpoint that no longer exists.
	void remove(EndpointId endpoint) {
		HttpClient previous = this.dedicatedClients.remove(endpoint);
		if (previous != null) {
			previous.shutdown();
		}
	}

	@Override
	public void close() {
		this.sharedClient.shutdownNow();
		this.dedicatedClients.values().forEach(HttpClient::shutdownNow);
	}

	private HttpClient newClient() {
		return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(this.connectTimeout).build();
	}

}
