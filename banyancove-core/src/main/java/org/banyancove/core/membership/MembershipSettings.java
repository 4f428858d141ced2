package org.banyancove.core.membership;

import java.time.Duration;

/**
 * Timeouts and bounds of the membership protocol.
 *
 * @param heartbeatInterval the interval between heartbeats to the same neighbor
 * @param suspicionTimeout the time without a heartbeat after which a neighbor is
 * suspected
 * @param deathTimeout the time after which a suspected peer that has not refuted the
 * suspicion is declared dead
 * @param fanOut the maximum number of neighbors in the same data center that receive
 * heartbeats
 * @param relays the number of peers of a data center that exchange heartbeats with
 * another data center
 * @param statesPerHeartbeat the maximum number of peer states in a heartbeat
 * @param transmissions the number of rounds of heartbeats that carry a changed state
 * @param loadsPerHeartbeat the maximum number of endpoint loads in a heartbeat
 * @param retention the time for which dead peers and notices are retained
 * @param maximumPeers the maximum number of peers in the table
 */
public record MembershipSettings(Duration heartbeatInterval, Duration suspicionTimeout, Duration deathTimeout,
		int fanOut, int relays, int statesPerHeartbeat, int transmissions, int loadsPerHeartbeat, Duration retention,
		int maximumPeers) {

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if a bound is not positive or the suspicion
	 * timeout is not greater than two heartbeat intervals
	 */
	public MembershipSettings {
		if (suspicionTimeout.compareTo(heartbeatInterval.multipliedBy(2)) <= 0) {
			throw new IllegalArgumentException(
					"suspicionTimeout must be greater than two heartbeat intervals: " + suspicionTimeout);
		}
		if (fanOut <= 0 || relays <= 0 || statesPerHeartbeat <= 0 || transmissions <= 0 || loadsPerHeartbeat <= 0
				|| maximumPeers <= 0) {
			throw new IllegalArgumentException("Bounds must be positive: fanOut=" + fanOut + ", relays=" + relays
					+ ", statesPerHeartbeat=" + statesPerHeartbeat + ", transmissions=" + transmissions
					+ ", loadsPerHeartbeat=" + loadsPerHeartbeat + ", maximumPeers=" + maximumPeers);
		}
	}

	/**
	 * Returns the default settings, which fit the control-traffic budget of a large
	 * fleet.
	 * @return the settings
	 */
	public static MembershipSettings defaults() {
		return new MembershipSettings(Duration.ofSeconds(1), Duration.ofSeconds(4), Duration.ofSeconds(3), 4, 2, 8, 6,
				12, Duration.ofMinutes(10), 4096);
	}

}
