package org.banyancove.core.handover;

import java.time.Duration;
import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

import org.banyancove.core.DataCenterName;

/**
 * Settings of holding and handover.
 *
 * @param nearby the other data centers whose entries may hold requests
 * @param acknowledgeTimeout the timeout for a peer to acknowledge that it holds a request
 * @param maximumHolderAttempts the number of peers requested before a request is accepted
 * without a holder
 * @param avoidanceTime how long a peer that did not answer is ranked last
 * @param progressInterval the interval between copies of an answer's progress
 * @param progressCharacters the maximum number of answer characters per message
 * @param maximumUnacknowledgedCopies the number of unacknowledged copies after which the
 * holder is replaced
 * @param handOverTimeout the timeout for a peer to acknowledge a handover
 * @param keepEnded how long an ended request is retained
 * @param maximumHeld the maximum number of requests held for other processes
 * @param maximumHeldCharacters the maximum total size of bodies and answers held for
 * other processes, in characters
 */
public record HandoverSettings(Set<DataCenterName> nearby, Duration acknowledgeTimeout, int maximumHolderAttempts,
		Duration avoidanceTime, Duration progressInterval, int progressCharacters, int maximumUnacknowledgedCopies,
		Duration handOverTimeout, Duration keepEnded, int maximumHeld, long maximumHeldCharacters) {

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if a bound is not positive
	 */
	public HandoverSettings {
		// The order determines which peer is requested first. The order of Set.copyOf
		// differs between JVM runs and would make simulations unrepeatable.
		nearby = Collections.unmodifiableSet(new TreeSet<>(nearby));
		if (maximumHolderAttempts <= 0 || progressCharacters <= 0 || maximumUnacknowledgedCopies <= 0
				|| maximumHeld <= 0 || maximumHeldCharacters <= 0) {
			throw new IllegalArgumentException(
					"bounds must be positive: " + maximumHolderAttempts + ", " + progressCharacters + ", "
							+ maximumUnacknowledgedCopies + ", " + maximumHeld + ", " + maximumHeldCharacters);
		}
	}

	/**
	 * Returns the default settings.
	 * @param nearby the other data centers whose entries may hold requests
	 * @return the settings
	 */
	public static HandoverSettings defaults(Set<DataCenterName> nearby) {
		return new HandoverSettings(nearby, Duration.ofMillis(100), 3, Duration.ofSeconds(5), Duration.ofSeconds(2),
				256 * 1024, 3, Duration.ofMillis(300), Duration.ofMinutes(10), 20_000, 512L * 1024 * 1024);
	}

}
