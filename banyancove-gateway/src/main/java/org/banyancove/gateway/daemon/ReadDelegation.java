package org.banyancove.gateway.daemon;

import java.time.Duration;

import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.shared.MonotonicClock;

/**
 * Decides whether a gateway delegates its reads of the store to the aggregators.
 * <p>
 * While the store fails, there are no readers. If every gateway then read on its own, the
 * store would get several calls per second from each of them while it is impaired. The
 * aggregators retry faster than the others and relay what they read, so the others wait
 * for some time before they read on their own.
 */
final class ReadDelegation {

	/**
	 * Time without enough readers after which a gateway reads on its own. The store may
	 * reject only the aggregators, and changes must still arrive in time.
	 */
	private static final Duration MISSING_READERS_TIMEOUT = Duration.ofSeconds(3);

	/**
	 * Time without a lease holder after which a gateway that is not an aggregator follows
	 * the lease itself; until then it does not claim the lease.
	 */
	private static final Duration MISSING_HOLDER_TIMEOUT = Duration.ofSeconds(5);

	private final MonotonicClock clock;

	private final long incarnation;

	private FleetView fleetView = FleetView.ALONE;

	private long readersLastSeenAt;

	private long holderLastSeenAt;

	/**
	 * Creates the delegation. A process that starts has no state and reads on its own.
	 * @param clock the monotonic clock
	 * @param incarnation the incarnation of this process
	 */
	ReadDelegation(MonotonicClock clock, long incarnation) {
		this.clock = clock;
		this.incarnation = incarnation;
		this.readersLastSeenAt = clock.nanos() - MISSING_READERS_TIMEOUT.toNanos();
		this.holderLastSeenAt = clock.nanos() - MISSING_HOLDER_TIMEOUT.toNanos();
	}

	/**
	 * Updates the view of the fleet.
	 * @param newest the newest view
	 */
	void update(FleetView newest) {
		this.fleetView = newest;
		if (newest.delegatesReading(this.incarnation)) {
			this.readersLastSeenAt = this.clock.nanos();
		}
		if (newest.leaseHeldElsewhere()) {
			this.holderLastSeenAt = this.clock.nanos();
		}
	}

	/**
	 * Returns whether other gateways read endpoints and configuration for this one.
	 * @return whether they do or are expected to do so shortly
	 */
	boolean delegatesSharedState() {
		return this.fleetView.delegatesReading(this.incarnation)
				|| withinTimeout(this.readersLastSeenAt, MISSING_READERS_TIMEOUT);
	}

	/**
	 * Returns whether other gateways follow the lease for this one.
	 * @return whether they do or are expected to do so shortly
	 */
	boolean delegatesLease() {
		return !this.fleetView.aggregator() && (this.fleetView.leaseHeldElsewhere()
				|| withinTimeout(this.holderLastSeenAt, MISSING_HOLDER_TIMEOUT));
	}

	private boolean withinTimeout(long lastSeenAt, Duration timeout) {
		return !this.fleetView.aggregator() && this.fleetView.reachesOthers()
				&& this.clock.nanos() - lastSeenAt < timeout.toNanos();
	}

}
