package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.gateway.endpoint.EndpointEntry;

/**
 * Detects data centres whose endpoints all disappeared from the list without draining.
 * <p>
 * During a network partition of some seconds, the endpoints of a data centre cannot renew
 * their entries. They keep running and are listed again when the partition ends.
 * Endpoints ordered there during the partition would be unreachable too, and lower orders
 * would stop the running ones.
 */
final class DataCenterFailureDetector {

	/**
	 * Time for which missing entries are attributed to a network partition: longer than
	 * partitions usually last. Endpoints that are permanently lost are replaced after it.
	 */
	private static final Duration PARTITION_TIMEOUT = Duration.ofSeconds(10);

	private final Set<DataCenterName> serving = new HashSet<>();

	private final Map<DataCenterName, Long> unreachableSince = new HashMap<>();

	/**
	 * Applies a new list of endpoints.
	 * @param listed the listed endpoints
	 * @param dataCenters the data centres that may contain endpoints
	 * @param now the current time, in ns of the monotonic clock
	 * @return the data centres that may be unreachable
	 */
	Set<DataCenterName> update(Collection<EndpointEntry> listed, List<DataCenterName> dataCenters, long now) {
		Set<DataCenterName> unreachable = new HashSet<>();
		for (DataCenterName dataCenter : dataCenters) {
			List<EndpointEntry> entries = listed.stream()
				.filter((entry) -> entry.dataCenter().equals(dataCenter))
				.toList();
			if (entries.stream().anyMatch((entry) -> !entry.draining())) {
				this.serving.add(dataCenter);
				this.unreachableSince.remove(dataCenter);
			}
			else if (!entries.isEmpty()) {
				this.serving.remove(dataCenter);
			}
			else if (this.serving.contains(dataCenter) && now
					- this.unreachableSince.computeIfAbsent(dataCenter, (name) -> now) < PARTITION_TIMEOUT.toNanos()) {
				unreachable.add(dataCenter);
			}
		}
		return unreachable;
	}

}
