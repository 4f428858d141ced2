package org.banyancove.gateway.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * Draws a few endpoints at random from all that are offered (reservoir sampling).
 * <p>
 * The gateways see the same reports, which are older than many prefills take. If each
 * request went to the endpoint that looks least loaded, all gateways would choose the
 * same one until the next report. The better of two random ones stays balanced under
 * stale reports (Mitzenmacher, "How useful is old information?", 2000).
 */
final class CandidateSample {

	/** Number of endpoints that are compared. */
	private static final int SIZE = 2;

	private final DoubleSupplier random;

	private final List<Endpoint> drawn = new ArrayList<>(SIZE);

	private int offered;

	/**
	 * Creates an empty sample.
	 * @param random supplies random numbers from 0 to 1
	 */
	CandidateSample(DoubleSupplier random) {
		this.random = random;
	}

	/**
	 * Offers an endpoint. All offered ones are drawn with the same probability.
	 * @param endpoint the endpoint
	 */
	void offer(Endpoint endpoint) {
		this.offered++;
		if (this.drawn.size() < SIZE) {
			this.drawn.add(endpoint);
			return;
		}
		int position = (int) (this.random.getAsDouble() * this.offered);
		if (position < SIZE) {
			this.drawn.set(position, endpoint);
		}
	}

	/**
	 * Returns the endpoints that were drawn.
	 * @return the endpoints, fewer than the sample's size if fewer were offered
	 */
	List<Endpoint> drawn() {
		return this.drawn;
	}

}
