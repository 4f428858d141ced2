package org.banyancove.core.routing;

import java.util.random.RandomGenerator;

import org.banyancove.core.DataCenterName;

/**
 * Selects the candidate endpoints of a placement, so that its cost does not grow with the
 * number of endpoints.
 * <p>
 * All endpoints of a small service are candidates. For a large service, the candidates
 * are the endpoints that hold a prefix of the prompt, a sample at each price in the
 * preferred data center, and a sample of all endpoints.
 */
final class CandidateSelector {

	private static final int POOL_SAMPLE_SIZE = 6;

	private static final int LOCAL_SAMPLE_SIZE = 36;

	private static final int GLOBAL_SAMPLE_SIZE = 8;

	private final RandomGenerator random;

	CandidateSelector(RandomGenerator random) {
		this.random = random;
	}

	void add(PlacementRequest request, ServiceEndpoints endpoints, Candidates candidates) {
		endpoints.prefixes().addHolders(request.prefixes(), candidates);
		if (endpoints.live().size() > Candidates.MAXIMUM_SIZE) {
			request.dataCenter().ifPresent((dataCenter) -> addLocal(dataCenter, endpoints, candidates));
		}
		addGlobal(endpoints.live(), candidates);
	}

	void addGlobal(EndpointGroup live, Candidates candidates) {
		if (live.size() <= Candidates.MAXIMUM_SIZE) {
			for (int i = 0; i < live.size(); i++) {
				candidates.add(live.get(i), 0);
			}
			return;
		}
		sample(live, GLOBAL_SAMPLE_SIZE, candidates);
		if (candidates.isEmpty()) {
			sample(live, Candidates.MAXIMUM_SIZE, candidates);
		}
	}

	private void addLocal(DataCenterName dataCenter, ServiceEndpoints endpoints, Candidates candidates) {
		int before = candidates.size();
		for (EndpointPool pool : endpoints.poolsOf(dataCenter)) {
			if (candidates.size() - before >= LOCAL_SAMPLE_SIZE) {
				return;
			}
			sample(pool.endpoints(), POOL_SAMPLE_SIZE, candidates);
		}
	}

	private void sample(EndpointGroup group, int count, Candidates candidates) {
		int start = this.random.nextInt(group.size());
		int sampleSize = Math.min(count, group.size());
		for (int step = 0; step < sampleSize; step++) {
			candidates.add(group.get((start + step) % group.size()), 0);
		}
	}

}
