package org.banyancove.core.routing;

import java.util.HashSet;
import java.util.Set;

import org.banyancove.core.DataCenterName;

/**
 * The data centers of which an entry keeps all endpoints.
 *
 * @param dataCenters the data centers of the region, empty if the region contains all
 */
public record EndpointRegion(Set<DataCenterName> dataCenters) {

	/** The region that contains all data centers. */
	public static final EndpointRegion ALL = new EndpointRegion(Set.of());

	/**
	 * Creates the region with an immutable copy.
	 */
	public EndpointRegion {
		dataCenters = Set.copyOf(dataCenters);
	}

	/**
	 * Returns the region of a data center.
	 * @param own the data center
	 * @param others the other data centers of its region, empty if the region contains
	 * all
	 * @return the region
	 */
	public static EndpointRegion of(DataCenterName own, Set<DataCenterName> others) {
		if (others.isEmpty()) {
			return ALL;
		}
		Set<DataCenterName> all = new HashSet<>(others);
		all.add(own);
		return new EndpointRegion(all);
	}

	/**
	 * Returns whether a data center is in the region.
	 * @param dataCenter the data center
	 * @return {@code true} if it is
	 */
	public boolean contains(DataCenterName dataCenter) {
		return this.dataCenters.isEmpty() || this.dataCenters.contains(dataCenter);
	}

}
