package org.banyancove.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.DataCenterName;

/**
 * The live endpoints of a service, indexed for placement.
 */
final class ServiceEndpoints {

	private static final double NEVER = Double.NaN;

	private static final double MEAN_WEIGHT = 0.02;

	private final EndpointGroup live = new EndpointGroup(EndpointGroup.SERVICE);

	private final Map<DataCenterName, List<EndpointPool>> pools = new HashMap<>();

	private final PrefixIndex prefixes = new PrefixIndex();

	private double emptySince = NEVER;

	private double freeCapacity;

	private int pastSlowStartCount;

	private double meanFirstToken;

	private int ownInFlight;

	void add(Endpoint endpoint) {
		this.live.add(endpoint);
		pool(endpoint).endpoints().add(endpoint);
		this.emptySince = NEVER;
		updateCapacity(endpoint);
	}

	void remove(Endpoint endpoint, double now) {
		this.live.remove(endpoint);
		this.freeCapacity -= endpoint.lastFreeCapacity();
		this.pastSlowStartCount -= (endpoint.wasPastSlowStart() ? 1 : 0);
		endpoint.recordCapacity(0, false);
		EndpointPool pool = pool(endpoint);
		pool.endpoints().remove(endpoint);
		if (pool.endpoints().isEmpty()) {
			poolsOf(endpoint.dataCenter()).remove(pool);
		}
		if (this.live.isEmpty()) {
			this.emptySince = now;
		}
	}

	EndpointGroup live() {
		return this.live;
	}

	/**
	 * Returns the pools of a data center.
	 * @param dataCenter the data center
	 * @return the pools, cheapest first
	 */
	List<EndpointPool> poolsOf(DataCenterName dataCenter) {
		return this.pools.computeIfAbsent(dataCenter, (name) -> new ArrayList<>());
	}

	/**
	 * Updates the service's free capacity after a change of an endpoint, which avoids
	 * summing over all endpoints.
	 * @param endpoint the changed endpoint
	 */
	void updateCapacity(Endpoint endpoint) {
		if (endpoint.isLive()) {
			double freeSlots = endpoint.freeSlots();
			this.freeCapacity += freeSlots - endpoint.lastFreeCapacity();
			boolean pastSlowStart = endpoint.isPastSlowStart();
			this.pastSlowStartCount += (pastSlowStart ? 1 : 0) - (endpoint.wasPastSlowStart() ? 1 : 0);
			endpoint.recordCapacity(freeSlots, pastSlowStart);
		}
	}

	void observeFirstToken(double seconds) {
		this.meanFirstToken = ((this.meanFirstToken == 0) ? seconds
				: this.meanFirstToken + MEAN_WEIGHT * (seconds - this.meanFirstToken));
	}

	double meanFirstToken() {
		return this.meanFirstToken;
	}

	/**
	 * Returns whether most endpoints are past slow start, so that the free capacity
	 * reflects their actual capacity.
	 * @return {@code true} if most are past slow start
	 */
	boolean isCapacityKnown() {
		return this.pastSlowStartCount * 2 > this.live.size();
	}

	double freeCapacity() {
		return this.freeCapacity;
	}

	void addOwnInFlight(int count) {
		this.ownInFlight += count;
	}

	int ownInFlight() {
		return this.ownInFlight;
	}

	PrefixIndex prefixes() {
		return this.prefixes;
	}

	double minimumFirstTokenSeconds() {
		double minimum = 0;
		for (int i = 0; i < Math.min(this.live.size(), Candidates.MAXIMUM_SIZE); i++) {
			double seconds = this.live.get(i).predictFirstToken(1);
			minimum = ((i == 0) ? seconds : Math.min(minimum, seconds));
		}
		return minimum;
	}

	double emptySince() {
		return this.emptySince;
	}

	private EndpointPool pool(Endpoint endpoint) {
		double price = endpoint.definition().pricePerHour();
		List<EndpointPool> ordered = poolsOf(endpoint.dataCenter());
		int index = 0;
		while (index < ordered.size() && ordered.get(index).pricePerHour() < price) {
			index++;
		}
		if (index < ordered.size() && ordered.get(index).pricePerHour() == price) {
			return ordered.get(index);
		}
		EndpointPool pool = new EndpointPool(price, new EndpointGroup(EndpointGroup.POOL));
		ordered.add(index, pool);
		return pool;
	}

}
