package org.banyancove.gateway.quarantine;

import java.time.Duration;

import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.endpoint.FleetAllocation;

/**
 * Decides when a suspect in quarantine is tried again, by one request of the whole fleet
 * at a time.
 * <p>
 * The gateways take turns, which all of them derive from the time of the last crash.
 */
final class QuarantineTrials {

	private static final Duration QUARANTINE_DURATION = Duration.ofMinutes(1);

	/** Covers a trial and the report of its outcome to all gateways. */
	private static final Duration TURN = Duration.ofSeconds(5);

	/** Later in a turn, the next gateway may already consider it its own. */
	private static final Duration USABLE_PART_OF_TURN = Duration.ofSeconds(3);

	private final FleetAllocation fleet;

	QuarantineTrials(FleetAllocation fleet) {
		this.fleet = fleet;
	}

	/**
	 * Returns the time for which requests with a suspect are rejected.
	 * @param key the suspect's key
	 * @param suspect a suspect in quarantine
	 * @param now the current time
	 * @return the time, or zero if this gateway may try one request
	 */
	Duration remaining(Fingerprint key, Suspect suspect, long now) {
		Long lastCrashAt = suspect.lastCrashAt();
		long elapsed = (lastCrashAt != null) ? now - lastCrashAt - QUARANTINE_DURATION.toNanos() : 0;
		if (elapsed < 0) {
			return Duration.ofNanos(-elapsed);
		}
		long turn = elapsed / TURN.toNanos();
		long turnElapsed = elapsed % TURN.toNanos();
		boolean mayTry = turnElapsed < USABLE_PART_OF_TURN.toNanos() && !suspect.triedSince(now - turnElapsed)
				&& this.fleet.isSelected(key.low() ^ key.high(), turn);
		return mayTry ? Duration.ZERO : TURN;
	}

}
