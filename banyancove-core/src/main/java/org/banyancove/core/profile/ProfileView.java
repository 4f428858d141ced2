package org.banyancove.core.profile;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * One process's view of the profiles stream, which keeps its {@link ProfileTable}
 * complete.
 * <p>
 * A view is complete if it starts at offset 0, at a checkpoint or at a peer's state.
 * Retention can remove records that a slow or new process has not read. The view then has
 * a gap: it continues to serve the state in which it was last complete, buffers the
 * records after the gap, and closes the gap with a checkpoint in the stream or with a
 * peer's state. Otherwise it would accept changes based on revisions that are outdated
 * for other readers.
 * <p>
 * Used by one thread, the entry's tick loop.
 */
public final class ProfileView {

	/**
	 * The maximum number of records buffered after a gap. The oldest are discarded first,
	 * since a checkpoint contains the state at an offset shortly before its own.
	 */
	static final int MAXIMUM_PENDING = 16_384;

	private final ProfileTable table = new ProfileTable();

	private final Deque<ProfileEntry> pending = new ArrayDeque<>();

	private long pendingNextOffset;

	private boolean gap;

	private boolean started;

	/**
	 * Returns the table for lookups. Only this view applies records to it.
	 * @return the table
	 */
	public ProfileTable table() {
		return this.table;
	}

	/**
	 * Returns whether the view has been complete at some offset, so that requests can be
	 * accepted and its state can be exported to peers.
	 * @return whether the view can be used
	 */
	public boolean isStarted() {
		return this.started;
	}

	/**
	 * Returns whether records are missing, so that a peer's state should be requested.
	 * @return whether there is a gap
	 */
	public boolean hasGap() {
		return this.gap;
	}

	/**
	 * Returns the offset of the next record to read.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.gap ? this.pendingNextOffset : this.table.nextOffset();
	}

	/**
	 * Applies a page. Entries that were read before are ignored, so pages may arrive from
	 * the log and from peers in any order.
	 * @param page the page
	 * @return the outcomes of the applied records, in order
	 */
	public List<ProfileOutcome> apply(ProfilePage page) {
		if (page.firstRetained() > nextOffset()) {
			openGap(page.firstRetained());
		}
		List<ProfileOutcome> outcomes = new ArrayList<>();
		for (ProfileEntry entry : page.entries()) {
			if (entry.offset() == nextOffset()) {
				apply(entry, outcomes);
			}
		}
		if (!this.gap && nextOffset() >= page.endOffset()) {
			this.started = true;
		}
		return outcomes;
	}

	/**
	 * Imports a peer's state if it is newer than this view's own.
	 * @param state the state, which the peer exported from a started view
	 * @return the outcomes of the buffered records after the state
	 */
	public List<ProfileOutcome> importState(ProfileTableState state) {
		List<ProfileOutcome> outcomes = new ArrayList<>();
		this.table.importState(state);
		this.started = true;
		closeGap(outcomes);
		return outcomes;
	}

	private void apply(ProfileEntry entry, List<ProfileOutcome> outcomes) {
		if (!this.gap) {
			outcomes.add(this.table.apply(entry));
			return;
		}
		addPending(entry);
		if (entry.record() instanceof ProfileRecord.ProfilesCheckpoint checkpoint && closesGap(checkpoint)) {
			this.table.importState(checkpoint.state());
			closeGap(outcomes);
		}
	}

	private void openGap(long firstRetained) {
		this.gap = true;
		this.pending.clear();
		this.pendingNextOffset = firstRetained;
	}

	private void addPending(ProfileEntry entry) {
		this.pending.addLast(entry);
		this.pendingNextOffset = entry.offset() + 1;
		if (this.pending.size() > MAXIMUM_PENDING) {
			this.pending.removeFirst();
		}
	}

	private boolean closesGap(ProfileRecord.ProfilesCheckpoint checkpoint) {
		return checkpoint.throughOffset() + 1 >= firstPendingOffset();
	}

	private long firstPendingOffset() {
		ProfileEntry first = this.pending.peekFirst();
		return (first != null) ? first.offset() : this.pendingNextOffset;
	}

	private void closeGap(List<ProfileOutcome> outcomes) {
		if (!this.gap || this.table.nextOffset() < firstPendingOffset()) {
			return;
		}
		Iterator<ProfileEntry> entries = this.pending.iterator();
		while (entries.hasNext()) {
			ProfileEntry entry = entries.next();
			if (entry.offset() == this.table.nextOffset()) {
				outcomes.add(this.table.apply(entry));
			}
		}
		this.pending.clear();
		this.gap = false;
		this.started = true;
	}

}
