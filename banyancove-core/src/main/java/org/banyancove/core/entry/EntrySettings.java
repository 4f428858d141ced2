package org.banyancove.core.entry;

import java.time.Duration;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.handover.HandoverSettings;
import org.banyancove.core.ledger.ClaimSettings;
import org.banyancove.core.membership.MembershipSettings;
import org.banyancove.core.routing.PlacementSettings;
import org.banyancove.core.stream.StreamSettings;

/**
 * The limits of an entry's tables.
 *
 * @param keepAnswers how long an ended answer is retained for a caller that reconnects
 * @param keepAnswerBytes the maximum total size of the retained answers in bytes
 * @param maximumRequests the maximum number of concurrent requests
 * @param suspectSettleTime how long after a crash the peers' reports of it may still
 * arrive
 * @param profileReaders the number of entries of each data center that read the profiles'
 * stream, 0 for all
 * @param claims the settings of the key ledger
 * @param streams the settings of streams
 * @param handover the settings of held requests and handovers
 * @param membership the settings of membership
 * @param region the other data centers of the entry's region, whose endpoints are kept in
 * full detail; empty if all data centers form one region
 * @param placement the weights of cost-based placement
 */
public record EntrySettings(Duration keepAnswers, long keepAnswerBytes, int maximumRequests, Duration suspectSettleTime,
		int profileReaders, ClaimSettings claims, StreamSettings streams, HandoverSettings handover,
		MembershipSettings membership, Set<DataCenterName> region, PlacementSettings placement) {

	/** Peers are notified of a crash within two heartbeats. */
	static final Duration SUSPECT_SETTLE_TIME = Duration.ofMillis(500);

	/**
	 * With a single reader, all its followers would read the stream themselves until the
	 * reader's failure is detected.
	 */
	static final int PROFILE_READERS = 2;

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if a limit is not positive
	 */
	public EntrySettings {
		check(keepAnswers.isPositive(), "keepAnswers", keepAnswers);
		check(keepAnswerBytes > 0, "keepAnswerBytes", keepAnswerBytes);
		check(maximumRequests > 0, "maximumRequests", maximumRequests);
		if (profileReaders < 0) {
			throw new IllegalArgumentException("profileReaders must not be negative: " + profileReaders);
		}
		region = Set.copyOf(region);
	}

	/**
	 * Returns the default settings, which suit a small installation.
	 * @param nearby the other data centers whose entries may hold requests
	 * @return the settings
	 */
	public static EntrySettings defaults(Set<DataCenterName> nearby) {
		return new EntrySettings(Duration.ofMinutes(15), 64L << 20, 20_000, SUSPECT_SETTLE_TIME, PROFILE_READERS,
				ClaimSettings.defaults(), StreamSettings.defaults(), HandoverSettings.defaults(nearby),
				MembershipSettings.defaults(), Set.of(), PlacementSettings.DEFAULT);
	}

	/**
	 * Returns a copy of these settings with another number of readers.
	 * @param readers the number of entries of each data center that read the profiles'
	 * stream, 0 for all
	 * @return the settings
	 */
	public EntrySettings withProfileReaders(int readers) {
		return new EntrySettings(this.keepAnswers, this.keepAnswerBytes, this.maximumRequests, this.suspectSettleTime,
				readers, this.claims, this.streams, this.handover, this.membership, this.region, this.placement);
	}

	private static void check(boolean positive, String field, Object value) {
		if (!positive) {
			throw new IllegalArgumentException(field + " must be positive: " + value);
		}
	}

}
