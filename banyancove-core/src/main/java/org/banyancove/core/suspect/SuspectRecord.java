package org.banyancove.core.suspect;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.banyancove.core.EndpointId;

/**
 * An entry's record of one suspect, which it sends to its peers. Merging records is
 * idempotent and commutative.
 *
 * @param fingerprint the suspect
 * @param crashes the crashes of endpoints at which it was running
 * @param clearedAt the time at which it last completed, empty if it did not
 * @param runningAt the endpoints at which it is running through this entry
 */
public record SuspectRecord(Fingerprint fingerprint, List<Crash> crashes, Optional<Instant> clearedAt,
		Set<EndpointId> runningAt) {

	/**
	 * Creates the record with immutable copies.
	 */
	public SuspectRecord {
		crashes = List.copyOf(crashes);
		runningAt = Set.copyOf(runningAt);
	}

}
