package org.banyancove.core.ledger;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Runs non-repeatable calls at most once each.
 * <p>
 * The system appends an intent, reads the slot's stream up to and including that intent,
 * and dispatches the call only if the intent is the first one for the key. This requires
 * neither a clock nor a lease nor the endpoint: a paused claimant remains the only
 * process that may run the call, and the intent of a failed claimant is never run by
 * another process. Clocks only determine timeouts.
 * <p>
 * Free of I/O and not thread-safe: all methods and all commands of the {@link ClaimPort}
 * run on the daemon's tick loop, and the port never calls back from within a command.
 */
public final class ClaimSystem {

	private final Incarnation self;

	private final InstantSource clock;

	private final ClaimSettings settings;

	private final RecordSequence records;

	private final ShutdownState shutdown = new ShutdownState();

	private final ClaimTimers timers = new ClaimTimers();

	private final DispatchTable dispatches = new DispatchTable();

	private final SlotTable slots;

	private final PendingKeyTable pendingKeys;

	private final AppendQueue appends;

	private final ClaimAnswerSystem answers;

	private final IntentSystem intents;

	private final OwnClaimSystem claims;

	private final KeyResolutionSystem resolution;

	private final SlotReadingSystem reading;

	/**
	 * Creates the system.
	 * @param self this process
	 * @param clock the clock for deadlines
	 * @param random the source for jitter
	 * @param settings the settings
	 * @param port executes the commands
	 */
	public ClaimSystem(Incarnation self, InstantSource clock, RandomGenerator random, ClaimSettings settings,
			ClaimPort port) {
		this.self = self;
		this.clock = clock;
		this.settings = settings;
		this.records = new RecordSequence(self);
		this.slots = new SlotTable(settings, random);
		this.pendingKeys = new PendingKeyTable(this.slots);
		this.appends = new AppendQueue(settings, clock, port);
		this.answers = new ClaimAnswerSystem(this.pendingKeys, this.dispatches, settings, random, port);
		this.intents = new IntentSystem(this.records, clock, settings, this.slots, this.pendingKeys, this.appends,
				this.timers, this.answers, this.shutdown);
		this.claims = new OwnClaimSystem(this.records, clock, settings, this.slots, this.pendingKeys, this.dispatches,
				this.appends, this.timers, this.answers, this.shutdown, port);
		this.resolution = new KeyResolutionSystem(self, clock, settings, this.slots, this.pendingKeys, this.timers,
				this.answers, this.intents, this.claims);
		this.reading = new SlotReadingSystem(self, settings, this.slots, this.pendingKeys, this.appends, this.answers,
				this.intents, this.resolution);
	}

	/**
	 * Submits a caller's request, which receives exactly one answer through the port, no
	 * later than its deadline. A request that is already waiting is ignored.
	 * @param request the request
	 * @throws IllegalArgumentException if the request is already dispatched for another
	 * key
	 */
	public void submit(ClaimRequest request) {
		if (this.pendingKeys.isWaiting(request.request())) {
			return;
		}
		DispatchTable.Dispatch running = this.dispatches.find(request.request());
		if (running != null && !running.pendingKey().key().equals(request.key())) {
			throw new IllegalArgumentException(
					"request is already dispatched for another key: '" + request.request() + "'");
		}
		ErrorKind error = admissionError();
		if (error != null) {
			refuseUnlessMayHaveRun(request, error);
			return;
		}
		Instant now = this.clock.instant();
		KeyWork pendingKey = this.pendingKeys.getOrCreate(request.key());
		this.pendingKeys.add(pendingKey, request);
		this.timers.add(earlier(request.deadline(), now.plus(this.settings.maximumWait())),
				new ClaimTimers.Deadline(request.request()));
		this.timers.add(now.plus(this.settings.appendTimeout()), new ClaimTimers.ViewTimeout(request.request()));
		this.resolution.evaluate(pendingKey);
	}

	/**
	 * Applies records read from a slot's stream. The records must be contiguous; records
	 * that were already read are ignored.
	 * @param slot the slot
	 * @param firstRetained the offset of the first retained record
	 * @param endOffset the offset of the next record to be appended
	 * @param records the records, in offset order
	 */
	public void recordsRead(KeySlot slot, long firstRetained, long endOffset, List<LoggedRecord> records) {
		this.reading.recordsRead(slot, firstRetained, endOffset, records);
	}

	/**
	 * Handles the result of an append.
	 * @param append the append
	 * @param result the result
	 */
	public void appendAnswered(AppendId append, AppendResult result) {
		for (LedgerRecord record : this.appends.answered(append, result)) {
			if (result instanceof AppendResult.Appended) {
				this.intents.acknowledged(record);
			}
		}
	}

	/**
	 * Handles the end of a dispatch. A repeated report is ignored.
	 * @param request the dispatched request
	 * @param result the result
	 */
	public void dispatchEnded(RequestId request, DispatchResult result) {
		DispatchTable.Dispatch dispatch = this.dispatches.remove(request);
		if (dispatch == null) {
			return;
		}
		this.claims.ended(request, dispatch, result);
		this.resolution.evaluate(dispatch.pendingKey());
	}

	/**
	 * Handles expired timers and sends checkpoints and appends that are due.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		ClaimTimers.Subject subject = this.timers.pollDue(now);
		while (subject != null) {
			switch (subject) {
				case ClaimTimers.Deadline deadline -> deadlineExpired(deadline.request());
				case ClaimTimers.ViewTimeout timeout -> viewTimedOut(timeout.request());
				case ClaimTimers.IntentTimeout intentTimeout -> this.intents.timedOut(intentTimeout.intent());
				case ClaimTimers.Reevaluation reevaluation -> this.resolution.reevaluate(reevaluation.key());
			}
			subject = this.timers.pollDue(now);
		}
		this.slots.views().forEach((view) -> sendCheckpointIfDue(view, now));
		this.appends.tick();
	}

	/**
	 * Hands over every call that has not been dispatched yet to another process after a
	 * reclaim notice. Claims whose records have not been read yet are handed over when
	 * they are read.
	 * @param receiver the process that receives the requests
	 * @return the requests that are not answered by this process; the caller must send
	 * them to the receiver, which submits them
	 */
	public List<ClaimRequest> handOver(Incarnation receiver) {
		this.shutdown.receiver(receiver);
		List<ClaimRequest> handedOver = new ArrayList<>();
		for (KeyWork pendingKey : this.pendingKeys.all()) {
			for (ClaimRequest request : pendingKey.waitingSnapshot()) {
				if (!this.dispatches.contains(request.request())) {
					handedOver.add(request);
					this.pendingKeys.removeRequest(request.request());
				}
			}
			this.intents.dropUnsent(pendingKey);
			this.resolution.evaluate(pendingKey);
		}
		return handedOver;
	}

	/**
	 * Refuses every call that has not been dispatched yet, on a shutdown without a
	 * process to hand over to.
	 */
	public void abandon() {
		this.shutdown.stop();
		for (KeyWork pendingKey : this.pendingKeys.all()) {
			this.intents.drop(pendingKey);
			ErrorKind kind = pendingKey.mayHaveRun() ? ErrorKind.CALL_IN_PROGRESS : ErrorKind.STOPPING;
			for (ClaimRequest request : pendingKey.waitingSnapshot()) {
				if (!this.dispatches.contains(request.request())) {
					this.answers.refuse(request.request(), kind);
				}
			}
			this.resolution.evaluate(pendingKey);
		}
	}

	/**
	 * Returns whether the process can stop without losing data: no call is running and
	 * all records have been appended to the log.
	 * @return {@code true} if the process can stop
	 */
	public boolean canStop() {
		return this.dispatches.size() == 0 && this.appends.idle();
	}

	/**
	 * Returns the records that are not confirmed to be on the log, for replication to a
	 * peer.
	 * @return the unconfirmed records
	 */
	public Collection<LedgerRecord.ClaimantRecord> unconfirmed() {
		return List.copyOf(this.appends.unconfirmed());
	}

	/**
	 * Appends unconfirmed records of another process to the log. A record that is already
	 * on the log has no effect.
	 * @param records the records, as returned by {@link #unconfirmed()} of their author
	 */
	public void adopt(Collection<LedgerRecord.ClaimantRecord> records) {
		records.forEach((record) -> this.appends.add(this.slots.slot(record.key()), record));
	}

	/**
	 * Returns a slot's state for a peer whose view is incomplete.
	 * @param slot the slot
	 * @return the parts of a checkpoint, empty if this view is incomplete as well
	 */
	public List<LedgerRecord.Checkpoint> checkpoint(KeySlot slot) {
		return this.slots.table(slot).checkpoint(this.records.next());
	}

	/**
	 * Restores a slot's state from a peer if the log no longer retains enough records.
	 * @param slot the slot
	 * @param parts the parts, as returned by {@link #checkpoint} of the peer
	 */
	public void restore(KeySlot slot, List<LedgerRecord.Checkpoint> parts) {
		this.reading.restore(slot, parts);
	}

	/**
	 * Returns whether every slot's view is complete, so that any call can be claimed.
	 * @return {@code true} if the process is ready for non-repeatable calls
	 */
	public boolean ready() {
		return this.slots.complete();
	}

	/**
	 * Returns a slot's table for read access.
	 * @param slot the slot
	 * @return the table
	 */
	public KeyTable table(KeySlot slot) {
		return this.slots.table(slot);
	}

	/**
	 * Returns the number of requests waiting for an answer.
	 * @return the number of requests
	 */
	public int waitingRequests() {
		return this.pendingKeys.waitingCount();
	}

	/**
	 * Returns the number of calls running at endpoints.
	 * @return the number of dispatches
	 */
	public int runningDispatches() {
		return this.dispatches.size();
	}

	private @Nullable ErrorKind admissionError() {
		if (this.shutdown.inProgress()) {
			return ErrorKind.STOPPING;
		}
		if (this.pendingKeys.waitingCount() >= this.settings.requests()) {
			return ErrorKind.OVERLOADED;
		}
		if (this.appends.unconfirmed().size() >= this.settings.requests()) {
			return ErrorKind.LOG_UNREACHABLE;
		}
		return null;
	}

	// The request may repeat a call that is running or has run. Reporting "not run" would
	// then be false, so the key must be checked before the request is refused.
	private void refuseUnlessMayHaveRun(ClaimRequest request, ErrorKind error) {
		KeyWork pendingKey = this.pendingKeys.getOrCreate(request.key());
		KeyTable table = this.slots.table(pendingKey.slot());
		Optional<KeyStatus> state = table.complete() ? table.find(request.key()) : Optional.empty();
		if (pendingKey.mayHaveRun() || state.filter((status) -> mayRun(pendingKey, status)).isPresent()) {
			this.pendingKeys.add(pendingKey, request);
			this.resolution.evaluate(pendingKey);
			if (this.pendingKeys.isWaiting(request.request())) {
				this.answers.refuse(request.request(), ErrorKind.CALL_IN_PROGRESS);
			}
		}
		else {
			this.answers.refuse(request.request(), error);
		}
		this.pendingKeys.discardIfIdle(pendingKey);
	}

	private boolean mayRun(KeyWork pendingKey, KeyStatus status) {
		return switch (status) {
			case KeyState state -> state.ended() || !state.claimant().equals(this.self) || pendingKey.claim() == null;
			case EndedKey _ -> true;
		};
	}

	private void viewTimedOut(RequestId request) {
		KeyWork pendingKey = this.pendingKeys.find(request);
		if (pendingKey != null && pendingKey.pendingIntent() == null && !pendingKey.mayHaveRun()) {
			this.answers.refuse(request, ErrorKind.LOG_UNREACHABLE);
			this.pendingKeys.discardIfIdle(pendingKey);
		}
	}

	private void deadlineExpired(RequestId request) {
		KeyWork pendingKey = this.pendingKeys.find(request);
		if (pendingKey == null) {
			return;
		}
		if (pendingKey.mayHaveRun() || (pendingKey.pendingIntent() != null && pendingKey.waiting().size() > 1)) {
			this.answers.refuse(request, ErrorKind.CALL_IN_PROGRESS);
			return;
		}
		this.intents.drop(pendingKey);
		this.answers.refuse(request, ErrorKind.LOG_UNREACHABLE);
		this.resolution.evaluate(pendingKey);
	}

	private void sendCheckpointIfDue(SlotView view, Instant now) {
		if (view.checkpointDue(now)) {
			this.appends.sendCheckpoint(view.slot(), List.copyOf(view.table().checkpoint(this.records.next())));
		}
	}

	private static Instant earlier(Instant first, Instant second) {
		return first.isBefore(second) ? first : second;
	}

}
