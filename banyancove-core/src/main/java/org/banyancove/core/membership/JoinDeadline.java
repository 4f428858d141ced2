package org.banyancove.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

import org.jspecify.annotations.Nullable;

/**
 * Limits the time for which a process with seeds waits for its first peer.
 * <p>
 * A new process may have read the profiles before its seeds have answered. Without the
 * wait it would accept requests that no second entry holds, and they would be lost if it
 * failed. After the timeout a process whose seeds are all gone or unreachable serves
 * alone.
 */
final class JoinDeadline {

	/** Living seeds answer well within this time, also on a VM that is still starting. */
	private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(5);

	private final PeerTable table;

	private final InstantSource clock;

	private @Nullable Instant deadline;

	JoinDeadline(PeerTable table, InstantSource clock) {
		this.table = table;
		this.clock = clock;
	}

	void start() {
		if (this.deadline == null) {
			this.deadline = this.clock.instant().plus(JOIN_TIMEOUT);
		}
	}

	void refresh() {
		boolean alone = this.table.living().size() <= 1;
		this.table.setJoining(alone && this.deadline != null && this.clock.instant().isBefore(this.deadline));
	}

}
