package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.duty.EndpointLoad;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.endpoint.Endpoint;

/**
 * Allocates the connections that an endpoint accepts from all gateways together.
 * <p>
 * Callers may come to few of the gateways. One half of the connections is therefore
 * divided equally, and the other half by the requests that each gateway has in flight. As
 * far as the other gateways are not heard, that half is divided equally too.
 */
final class ConnectionAllowance {

	/** Part of the connections that is allocated; new gateways are not listed yet. */
	private static final double ALLOCATED = 0.9;

	/** Part of the allocated connections that is divided equally. */
	private static final double DIVIDED_EQUALLY = 0.5;

	/** The connections to an endpoint that a gateway needs to serve at all. */
	private static final int MINIMUM_CONNECTIONS = 2;

	/**
	 * Time constant of the requests in flight: some reports, so that the others give up
	 * connections about as fast as this gateway takes them.
	 */
	private static final Duration SMOOTHING_TIME = Duration.ofSeconds(1);

	private final Map<ServiceName, InFlight> inFlight = new HashMap<>();

	private int listedGateways;

	private double heardShare;

	private long updatedAt;

	/**
	 * Updates the fleet.
	 * @param newListedGateways the number of gateways that may be running, including this
	 * one, or 0 if it is unknown
	 * @param fleet what this gateway hears of the others
	 * @param endpoints the endpoints, with the requests that this gateway has in flight
	 * @param now the current time
	 */
	void update(int newListedGateways, FleetView fleet, Collection<Endpoint> endpoints, long now) {
		this.listedGateways = newListedGateways;
		this.heardShare = (newListedGateways > 1)
				? Math.min(1, (fleet.reachableGateways() - 1.0) / (newListedGateways - 1)) : 1;
		Map<ServiceName, InFlight> current = new HashMap<>();
		for (Endpoint endpoint : endpoints) {
			int others = fleet.loads().getOrDefault(endpoint.id(), EndpointLoad.NONE).inFlight();
			current.merge(endpoint.entry().service(), new InFlight(endpoint.inFlight(), others), InFlight::plus);
		}
		double weight = 1 - Math.exp((double) (this.updatedAt - now) / SMOOTHING_TIME.toNanos());
		this.inFlight.keySet().retainAll(current.keySet());
		current.forEach((service, latest) -> this.inFlight.merge(service, latest,
				(previous, ignored) -> previous.movedTowards(latest, weight)));
		this.updatedAt = now;
	}

	/**
	 * Returns the connections that this gateway may open to each endpoint of a service.
	 * @param service the service
	 * @return the limit
	 */
	ConnectionLimit limit(Service service) {
		if (this.listedGateways == 0) {
			return new ConnectionLimit(MINIMUM_CONNECTIONS, MINIMUM_CONNECTIONS);
		}
		double equalShare = 1.0 / this.listedGateways;
		double demandShare = this.inFlight.getOrDefault(service.name(), InFlight.NONE).ownShare(this.listedGateways);
		double allocated = service.maxConnections() * ALLOCATED;
		double kept = allocated * DIVIDED_EQUALLY * equalShare;
		double byDemand = allocated * (1 - DIVIDED_EQUALLY)
				* (this.heardShare * demandShare + (1 - this.heardShare) * equalShare);
		return new ConnectionLimit(Math.max(MINIMUM_CONNECTIONS, (int) (kept + byDemand)),
				Math.max(MINIMUM_CONNECTIONS, (int) kept));
	}

	/**
	 * The requests in flight at the endpoints of a service.
	 *
	 * @param own this gateway's requests
	 * @param others the other gateways' requests
	 */
	private record InFlight(double own, double others) {

		private static final InFlight NONE = new InFlight(0, 0);

		InFlight plus(InFlight other) {
			return new InFlight(this.own + other.own, this.others + other.others);
		}

		InFlight movedTowards(InFlight latest, double weight) {
			return new InFlight(this.own + weight * (latest.own - this.own),
					this.others + weight * (latest.others - this.others));
		}

		// Counts one request more for each gateway, so that an idle one has a share too.
		double ownShare(int gateways) {
			return (this.own + 1) / (this.own + this.others + gateways);
		}

	}

}
