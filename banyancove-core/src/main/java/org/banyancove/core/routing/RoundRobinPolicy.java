package org.banyancove.core.routing;

import java.util.HashMap;
import java.util.Map;

import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoints of a service in turn. Serves as a baseline for comparisons.
 */
final class RoundRobinPolicy implements PlacementPolicy {

	private final Map<ServiceName, Integer> cursors = new HashMap<>();

	@Override
	public @Nullable Choice choose(PlacementRequest request, ServiceEndpoints endpoints, double now) {
		EndpointGroup live = endpoints.live();
		int cursor = this.cursors.getOrDefault(request.service(), 0);
		for (int step = 0; step < live.size(); step++) {
			int index = (cursor + step) % live.size();
			Endpoint endpoint = live.get(index);
			if (!request.excluded().contains(endpoint.id())) {
				this.cursors.put(request.service(), index + 1);
				return new Choice(endpoint, endpoints.prefixes().cachedTokens(request.prefixes(), endpoint));
			}
		}
		return null;
	}

}
