package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;

import org.banyancove.core.membership.PeerTable;
import org.banyancove.core.membership.Rendezvous;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;
import org.jspecify.annotations.Nullable;

/**
 * Selects the entries of a data center that read the profiles' stream. A reader notifies
 * its followers each time it has read to the end of the log, and sends them the records
 * it read.
 * <p>
 * Failure: the readers have failed, cannot reach the platform or are slow, and their
 * followers miss a change that is effective elsewhere. A follower that receives no
 * notification of the end of the log reads the stream itself. This is sufficient even if
 * entries disagree about the selection: an entry that is not notified always reads.
 */
final class ProfileReaders {

	/**
	 * A reader notifies its followers at least once per long poll of the log, which waits
	 * for 5 s by default. A change must be effective within 12 s.
	 */
	static final Duration NOTIFICATION_TIMEOUT = Duration.ofSeconds(8);

	private static final String RENDEZVOUS_KEY = "profiles";

	private final PeerState self;

	private final PeerTable peers;

	private final int count;

	private final InstantSource clock;

	private long appliedTableChanges = -1;

	private List<PeerState> readers = List.of();

	private List<PeerState> followers = List.of();

	private @Nullable Instant endReportedAt;

	/**
	 * Creates the selection for an entry.
	 * @param self this entry
	 * @param peers the table of entries
	 * @param count the number of readers of a data center, 0 for all of its entries
	 * @param clock the clock
	 */
	ProfileReaders(PeerState self, PeerTable peers, int count, InstantSource clock) {
		this.self = self;
		this.peers = peers;
		this.count = count;
		this.clock = clock;
	}

	boolean shouldRead() {
		refresh();
		Instant lastReport = this.endReportedAt;
		return this.count == 0 || isReader(this.self) || lastReport == null
				|| lastReport.plus(NOTIFICATION_TIMEOUT).isBefore(this.clock.instant());
	}

	// Records that another entry has just read to the end of the log, and that this
	// entry has applied all that it read.
	void endReported() {
		this.endReportedAt = this.clock.instant();
	}

	/**
	 * Returns the entries that this entry notifies of what it reads.
	 * @return the followers, none if this entry is not a reader
	 */
	List<PeerState> followers() {
		refresh();
		return this.followers;
	}

	private void refresh() {
		if (this.peers.changes() == this.appliedTableChanges) {
			return;
		}
		this.appliedTableChanges = this.peers.changes();
		List<PeerState> living = this.peers.living(this.self.dataCenter());
		List<PeerState> candidates = living.stream().filter((peer) -> peer.status() == PeerStatus.ALIVE).toList();
		this.readers = Rendezvous.rank(RENDEZVOUS_KEY, candidates, ProfileReaders::name)
			.stream()
			.limit(this.count)
			.toList();
		this.followers = living.stream().filter(this::isFollower).toList();
	}

	// Each follower has one reader, so that it is not notified twice.
	private boolean isFollower(PeerState peer) {
		PeerState reader = Rendezvous.first(name(peer), this.readers, ProfileReaders::name);
		return !isReader(peer) && reader != null && reader.incarnation().equals(this.self.incarnation());
	}

	private boolean isReader(PeerState peer) {
		return this.readers.stream().anyMatch((reader) -> reader.incarnation().equals(peer.incarnation()));
	}

	private static String name(PeerState peer) {
		return peer.incarnation().toString();
	}

}
