package org.banyancove.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.Incarnation;

/**
 * Anti-entropy for suspects: decides when records are sent to a peer again.
 * <p>
 * A change is sent immediately, but only once: a peer that missed it or that started
 * later would never refuse the request. Heartbeats hence carry a digest. A peer whose
 * digest has differed for a while, with no change on either side, receives a bounded part
 * of all records. Entries that cleared a suspect, or whose record expired earlier, differ
 * without having missed anything; after all records were sent they are sent again only
 * after {@link #REPEAT_INTERVAL}.
 * <p>
 * Confined to the tick loop; not thread-safe.
 */
public final class SuspectExchange {

	/** Longer than a change takes to reach all peers. */
	static final Duration SETTLE_TIME = Duration.ofSeconds(3);

	static final Duration REPEAT_INTERVAL = Duration.ofMinutes(2);

	/** With records of about 100 bytes and 6 peers this is 80 bytes per second. */
	static final int MAXIMUM_RECORDS_PER_SEND = 16;

	private static final int MAXIMUM_PEERS = 256;

	private final SuspectSystem suspects;

	private final InstantSource clock;

	private final Map<Incarnation, Difference> differences = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Incarnation, Difference> eldest) {
			return size() > MAXIMUM_PEERS;
		}
	};

	/**
	 * Creates the exchange.
	 * @param suspects the suspects of this entry
	 * @param clock the clock
	 */
	public SuspectExchange(SuspectSystem suspects, InstantSource clock) {
		this.suspects = suspects;
		this.clock = clock;
	}

	/**
	 * Compares the digest of a peer's heartbeat with the local one.
	 * @param peer the peer
	 * @param digest its {@link SuspectSystem#digest()}
	 * @return the records to send to it, usually none
	 */
	public List<SuspectRecord> digestReceived(Incarnation peer, long digest) {
		long local = this.suspects.digest();
		if (local == digest) {
			this.differences.remove(peer);
			return List.of();
		}
		Instant now = this.clock.instant();
		Difference previous = this.differences.get(peer);
		if (previous == null || previous.local != local || previous.remote != digest) {
			int nextIndex = ((previous != null) ? previous.nextIndex : 0);
			this.differences.put(peer, new Difference(local, digest, now.plus(SETTLE_TIME), nextIndex));
			return List.of();
		}
		if (now.isBefore(previous.sendAt)) {
			return List.of();
		}
		List<SuspectRecord> all = new ArrayList<>(this.suspects.records());
		all.removeIf((record) -> record.crashes().isEmpty());
		all.sort(Comparator.comparing(SuspectRecord::fingerprint));
		int from = ((previous.nextIndex < all.size()) ? previous.nextIndex : 0);
		int to = Math.min(all.size(), from + MAXIMUM_RECORDS_PER_SEND);
		Duration delay = ((to < all.size()) ? SETTLE_TIME : REPEAT_INTERVAL);
		this.differences.put(peer, new Difference(local, digest, now.plus(delay), to));
		return List.copyOf(all.subList(from, to));
	}

	/**
	 * A peer whose digest differs.
	 *
	 * @param local the local digest
	 * @param remote the peer's digest
	 * @param sendAt the time at which records are sent if neither digest changes before
	 * @param nextIndex the index of the next record to send
	 */
	private record Difference(long local, long remote, Instant sendAt, int nextIndex) {

	}

}
