package org.banyancove.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;

import org.banyancove.core.Invariant;
import org.jspecify.annotations.Nullable;

/**
 * The state derived from a slot's stream: which process may run which call, and the
 * outcomes of calls.
 * <p>
 * The table is a deterministic function of the records read: conflicts are resolved by
 * offset, and time is that of the records. Not thread-safe.
 */
public final class KeyTable {

	private static final int KEYS_PER_CHECKPOINT_PART = 500;

	private static final int ENDED_KEYS_PER_CHECKPOINT_PART = 4000;

	private static final int MAXIMUM_REPLAY_RECORDS = 200_000;

	private final Duration answerWindow;

	// Calls that are or may be running, in the order of their intents.
	private final LinkedHashMap<CallKey, KeyState> claimed = new LinkedHashMap<>();

	// Recently ended calls with their answers, in the order of their outcomes.
	private final LinkedHashMap<CallKey, KeyState> answered = new LinkedHashMap<>();

	// Ended calls whose answers have expired.
	private final EndedKeyTable ended = new EndedKeyTable();

	private final Deque<LoggedRecord> replayRecords = new ArrayDeque<>();

	private final ValueInterner values = new ValueInterner();

	private final CheckpointParts checkpointParts = new CheckpointParts();

	private boolean complete = true;

	private long nextOffset;

	private Instant logTime = Instant.MIN;

	private Instant checkpointAt = Instant.MIN;

	/**
	 * Creates an empty table that keeps answers for
	 * {@link ClaimSettings#DEFAULT_ANSWER_WINDOW}.
	 */
	public KeyTable() {
		this(ClaimSettings.DEFAULT_ANSWER_WINDOW);
	}

	/**
	 * Creates an empty table.
	 * @param answerWindow how long an answer is kept after the end of its call, in log
	 * time
	 */
	public KeyTable(Duration answerWindow) {
		this.answerWindow = answerWindow;
	}

	/**
	 * Returns whether the table includes all unexpired keys: it was built without a gap
	 * from the beginning of the stream or from a checkpoint.
	 * @return {@code true} if the view is complete
	 */
	public boolean complete() {
		return this.complete;
	}

	/**
	 * Returns the offset of the next record to read.
	 * @return the offset after the last record read
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the time of the newest record read.
	 * @return the log's time, {@link Instant#MIN} before the first record
	 */
	public Instant logTime() {
		return this.logTime;
	}

	/**
	 * Returns the time of the last checkpoint read.
	 * @return the log time of the newest complete checkpoint, or of the first record
	 */
	public Instant checkpointAt() {
		return this.checkpointAt;
	}

	/**
	 * Returns the number of keys, including expired keys that have not been removed yet.
	 * @return the number of keys
	 */
	public int size() {
		return this.claimed.size() + this.answered.size() + this.ended.size();
	}

	/**
	 * Returns the status of a key.
	 * @param key the key
	 * @return the status, empty if the key is not claimed
	 * @throws IllegalStateException if the view is not complete
	 */
	public Optional<KeyStatus> find(CallKey key) {
		if (!this.complete) {
			throw new IllegalStateException("the view is not complete at offset " + this.nextOffset);
		}
		KeyState state = findState(key);
		return Optional.ofNullable((state != null) ? state : findEnded(key));
	}

	/**
	 * Applies a record. Records that were already read are ignored.
	 * @param offset the record's offset
	 * @param record the record
	 * @param appendedAt the log time of the append
	 */
	public void apply(long offset, LedgerRecord record, Instant appendedAt) {
		if (offset < this.nextOffset) {
			return;
		}
		if (offset > this.nextOffset) {
			recordGap(offset);
		}
		this.nextOffset = offset + 1;
		advance(appendedAt);
		if (this.complete) {
			applyComplete(offset, record, appendedAt);
		}
		else {
			addToReplay(new LoggedRecord(offset, record, appendedAt));
		}
		if (record instanceof LedgerRecord.Checkpoint checkpoint) {
			collectPart(checkpoint, appendedAt);
		}
	}

	/**
	 * Handles the trimming of all records before an offset. If some of them were not
	 * read, the view is incomplete until a checkpoint is read, since they may include an
	 * intent.
	 * @param firstRetained the offset of the first retained record
	 */
	public void trimmed(long firstRetained) {
		if (firstRetained > this.nextOffset) {
			recordGap(firstRetained);
		}
	}

	/**
	 * Handles a stream without records after all records before an offset were trimmed by
	 * age. If retention is at least as long as the key window, each of their keys has
	 * expired, so the empty view is complete. Without this rule, no key of a stream that
	 * was idle for long could ever be claimed again.
	 * @param endOffset the offset of the next record to be appended
	 */
	public void emptied(long endOffset) {
		if (endOffset < this.nextOffset || (this.complete && endOffset == this.nextOffset)) {
			return;
		}
		clear();
		this.nextOffset = endOffset;
		this.complete = true;
	}

	/**
	 * Returns the state as records for the log.
	 * @param checkpoint the identifier of the checkpoint
	 * @return the parts, to be appended together; empty if the view is incomplete
	 */
	public List<LedgerRecord.Checkpoint> checkpoint(RecordId checkpoint) {
		if (!this.complete) {
			return List.of();
		}
		List<KeyState> live = states().stream().filter((state) -> !state.expired(this.logTime)).toList();
		List<EndedKeys> digests = this.ended.live(this.logTime, ENDED_KEYS_PER_CHECKPOINT_PART);
		int stateParts = Math.ceilDiv(live.size(), KEYS_PER_CHECKPOINT_PART);
		int parts = Math.max(1, stateParts + digests.size());
		List<LedgerRecord.Checkpoint> records = new ArrayList<>(parts);
		for (int part = 0; part < parts; part++) {
			int from = Math.min(live.size(), part * KEYS_PER_CHECKPOINT_PART);
			int to = Math.min(live.size(), from + KEYS_PER_CHECKPOINT_PART);
			EndedKeys keys = (part < stateParts || digests.isEmpty()) ? EndedKeys.NONE : digests.get(part - stateParts);
			RecordId id = new RecordId(checkpoint + "/" + part);
			records.add(new LedgerRecord.Checkpoint(id, checkpoint, this.nextOffset, this.logTime, part, parts,
					live.subList(from, to), keys));
		}
		return records;
	}

	/**
	 * Restores a checkpoint received from a peer. It is equivalent to a checkpoint on the
	 * log and may be ahead of the records read by this process. Ignored if the view is
	 * complete.
	 * @param parts all parts, as returned by {@link #checkpoint} of the peer
	 */
	public void restore(List<LedgerRecord.Checkpoint> parts) {
		if (this.complete || parts.isEmpty()) {
			return;
		}
		LedgerRecord.Checkpoint last = parts.getLast();
		if (last.through() > this.nextOffset) {
			this.replayRecords.clear();
			this.nextOffset = last.through();
			this.logTime = last.logTime();
			this.checkpointAt = last.logTime();
			putAll(parts);
			this.complete = true;
			return;
		}
		restore(last, parts);
	}

	/**
	 * Returns the full states: running calls in the order of their intents, then ended
	 * calls in the order of their outcomes.
	 * @return an immutable copy
	 */
	public List<KeyState> states() {
		List<KeyState> states = new ArrayList<>(this.claimed.size() + this.answered.size());
		states.addAll(this.claimed.values());
		states.addAll(this.answered.values());
		return Collections.unmodifiableList(states);
	}

	/**
	 * Returns the unexpired keys of which only a digest is kept.
	 * @return the keys, in the order in which their answers expired
	 */
	public List<EndedKey> endedKeys() {
		return this.ended.live(this.logTime, Integer.MAX_VALUE)
			.stream()
			.flatMap((part) -> part.toList().stream())
			.toList();
	}

	private void clear() {
		this.claimed.clear();
		this.answered.clear();
		this.ended.clear();
		this.replayRecords.clear();
		this.checkpointParts.clear();
	}

	private void recordGap(long offset) {
		clear();
		this.nextOffset = offset;
		this.complete = false;
	}

	private void advance(Instant appendedAt) {
		if (this.checkpointAt.equals(Instant.MIN)) {
			this.checkpointAt = appendedAt;
		}
		if (appendedAt.isAfter(this.logTime)) {
			this.logTime = appendedAt;
		}
	}

	private void addToReplay(LoggedRecord logged) {
		if (this.replayRecords.size() == MAXIMUM_REPLAY_RECORDS) {
			this.replayRecords.removeFirst();
		}
		this.replayRecords.addLast(logged);
	}

	private void applyComplete(long offset, LedgerRecord record, Instant appendedAt) {
		switch (record) {
			case LedgerRecord.Intent intent -> applyIntent(offset, intent, appendedAt);
			case LedgerRecord.ClaimantRecord claimant -> applyClaimantRecord(offset, claimant);
			case LedgerRecord.Checkpoint _, LedgerRecord.Unrecognized _ -> {
			}
		}
		removeExpired();
	}

	private void applyIntent(long offset, LedgerRecord.Intent intent, Instant appendedAt) {
		if (findState(intent.key()) != null || findEnded(intent.key()) != null) {
			return;
		}
		Instant intentAt = appendedAt.isBefore(this.logTime) ? this.logTime : appendedAt;
		CallKey key = this.values.intern(intent.key());
		KeyState state = new KeyState(key, intent.digest(), this.values.intern(intent.author()), offset, offset,
				intentAt, this.values.intern(intent.window()), null, null);
		this.answered.remove(key);
		this.claimed.remove(key);
		this.claimed.put(key, state);
	}

	private void applyClaimantRecord(long offset, LedgerRecord.ClaimantRecord record) {
		KeyState state = findState(record.key());
		if (state == null || state.ended() || !isClaimant(state, record)) {
			return;
		}
		switch (record) {
			case LedgerRecord.Outcome outcome -> {
				this.claimed.remove(state.key());
				this.answered.put(state.key(), state.endedWith(this.values.intern(outcome.answer()), this.logTime));
			}
			case LedgerRecord.Released _ -> this.claimed.remove(state.key());
			case LedgerRecord.HandedOver handedOver ->
				this.claimed.put(state.key(), state.handedOverTo(handedOver.receiver(), offset));
		}
	}

	private boolean isClaimant(KeyState state, LedgerRecord.ClaimantRecord record) {
		return state.claimant().equals(record.author()) && state.claimOffset() == record.claimOffset();
	}

	private @Nullable KeyState findState(CallKey key) {
		KeyState running = this.claimed.get(key);
		KeyState state = (running != null) ? running : this.answered.get(key);
		return (state == null || state.expired(this.logTime)) ? null : state;
	}

	private @Nullable EndedKey findEnded(CallKey key) {
		if (this.ended.size() == 0) {
			return null;
		}
		EndedKey found = this.ended.find(KeyDigest.of(key));
		return (found == null || found.expired(this.logTime)) ? null : found;
	}

	// Only the oldest keys are checked, so that the cost of a record does not depend on
	// the number of keys. Lookups ignore expired keys that have not been removed yet.
	private void removeExpired() {
		Iterator<KeyState> running = this.claimed.values().iterator();
		while (running.hasNext() && running.next().expired(this.logTime)) {
			running.remove();
		}
		Iterator<KeyState> oldest = this.answered.values().iterator();
		while (oldest.hasNext() && compactIfExpired(oldest.next())) {
			oldest.remove();
		}
		this.ended.removeExpired(this.logTime);
	}

	// Dropping expired answers lets the keys of a day fit into memory. A repeat still
	// learns that its call ran and how it ended.
	private boolean compactIfExpired(KeyState state) {
		if (state.expired(this.logTime)) {
			return true;
		}
		if (!state.isAnswerExpired(this.logTime, this.answerWindow)) {
			return false;
		}
		Invariant.check(state.ended(), "%s is reduced to its digest although its call has not ended", state.key());
		this.ended.add(EndedKey.of(state));
		return true;
	}

	private void collectPart(LedgerRecord.Checkpoint part, Instant appendedAt) {
		if (this.complete) {
			this.checkpointAt = (part.part() == part.parts() - 1) ? appendedAt : this.checkpointAt;
			return;
		}
		if (this.checkpointParts.add(part)) {
			this.checkpointAt = appendedAt;
			restore(part, this.checkpointParts.parts());
			this.checkpointParts.clear();
		}
	}

	// The replay starts at the log time of the checkpoint. With the time of the newest
	// record, a key that expired in between would let an intent win that lost in every
	// other process.
	private void restore(LedgerRecord.Checkpoint checkpoint, List<LedgerRecord.Checkpoint> parts) {
		LoggedRecord first = this.replayRecords.peekFirst();
		if (first == null || first.offset() > checkpoint.through()) {
			return;
		}
		putAll(parts);
		this.complete = true;
		this.logTime = checkpoint.logTime();
		for (LoggedRecord logged : this.replayRecords) {
			if (logged.offset() >= checkpoint.through()) {
				advance(logged.appendedAt());
				applyComplete(logged.offset(), logged.record(), logged.appendedAt());
			}
		}
		this.replayRecords.clear();
	}

	private void putAll(List<LedgerRecord.Checkpoint> parts) {
		for (LedgerRecord.Checkpoint part : parts) {
			part.states().stream().map(this.values::intern).forEach(this::put);
			part.ended().toList().forEach(this.ended::add);
		}
	}

	private void put(KeyState state) {
		(state.ended() ? this.answered : this.claimed).put(state.key(), state);
	}

	/** The consecutive parts read so far of a checkpoint. */
	private static final class CheckpointParts {

		private final List<LedgerRecord.Checkpoint> parts = new ArrayList<>();

		private @Nullable RecordId checkpoint;

		private int nextPart;

		boolean add(LedgerRecord.Checkpoint part) {
			if (part.part() == 0) {
				clear();
				this.checkpoint = part.checkpoint();
			}
			if (!part.checkpoint().equals(this.checkpoint) || part.part() != this.nextPart) {
				clear();
				return false;
			}
			this.parts.add(part);
			this.nextPart++;
			return this.nextPart == part.parts();
		}

		List<LedgerRecord.Checkpoint> parts() {
			return this.parts;
		}

		void clear() {
			this.parts.clear();
			this.checkpoint = null;
			this.nextPart = 0;
		}

	}

}
