package org.banyancove.core.stream;

import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashSet;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.Invariant;
import org.banyancove.core.RequestId;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.answer.EndResult;
import org.banyancove.core.answer.Piece;
import org.banyancove.core.answer.PieceResult;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.Progress;
import org.jspecify.annotations.Nullable;

/**
 * Drives every stream to completion: reattaches to stalled streams, moves streams away
 * from leaving endpoints, and immediately fails streams that cannot be completed.
 * Confined to the entry's tick thread.
 */
public final class StreamSystem {

	/** Maximum size of an answer, in characters. */
	static final long MAXIMUM_ANSWER_CHARACTERS = 8 << 20;

	/** Maximum size of an answer, in tokens. */
	static final long MAXIMUM_ANSWER_TOKENS = 1 << 19;

	private final StreamTable table;

	private final InstantSource clock;

	private final StreamSettings settings;

	private final StreamPort port;

	private final StreamCounters counters = new StreamCounters();

	private final StreamTimers timers = new StreamTimers();

	private final LeavingEndpoints leaving;

	/**
	 * Creates the system.
	 * @param table the table of streams
	 * @param clock the clock
	 * @param settings the settings
	 * @param port the port to the enclosing entry
	 */
	public StreamSystem(StreamTable table, InstantSource clock, StreamSettings settings, StreamPort port) {
		this.table = table;
		this.clock = clock;
		this.settings = settings;
		this.port = port;
		this.leaving = new LeavingEndpoints(settings);
	}

	/**
	 * Starts the stream of an accepted request.
	 * @param held the request
	 * @param endpoint the endpoint on which it was placed
	 * @param promptTokens the number of tokens in its prompt
	 * @param expectedTokens the maximum number of tokens in the answer, or 0 if unknown
	 */
	public void start(HeldRequest held, EndpointId endpoint, long promptTokens, long expectedTokens) {
		StreamEntity stream = add(held, promptTokens, expectedTokens);
		placed(held.request(), endpoint);
		Invariant.check(stream.placing || stream.endpoint != null,
				"request %s has neither an endpoint nor a pending placement", held.request());
	}

	/**
	 * Continues a request that was taken over from another entry.
	 * @param held the request
	 * @param progress the answer so far, from offset 0
	 * @param promptTokens the number of tokens in its prompt
	 * @param expectedTokens the maximum number of tokens in the answer, or 0 if unknown
	 */
	public void adopt(HeldRequest held, Progress progress, long promptTokens, long expectedTokens) {
		StreamEntity stream = add(held, promptTokens, expectedTokens);
		boolean contiguous = stream.answer.appendCopy(progress.attempt(), progress.pieces());
		Invariant.check(contiguous, "progress of %s has a gap", held.request());
		EndpointId endpoint = progress.endpoint();
		if (!held.deadline().isAfter(this.clock.instant())) {
			giveUp(stream, ErrorKind.ANSWER_INCOMPLETE);
		}
		else if (endpoint != null && !this.leaving.contains(endpoint)) {
			this.table.setEndpoint(stream, endpoint);
			reattach(stream, endpoint);
		}
		else {
			place(stream);
		}
	}

	/**
	 * Handles the endpoint selected for {@link StreamCommand.Place}.
	 * @param request the request
	 * @param endpoint the endpoint
	 */
	public void placed(RequestId request, EndpointId endpoint) {
		StreamEntity stream = running(request);
		if (stream == null || !stream.placing) {
			return;
		}
		if (this.leaving.contains(endpoint)) {
			place(stream);
			return;
		}
		stream.placing = false;
		EndpointId source = stream.endpoint;
		if (source != null && this.leaving.contains(source) && stream.answer.nextOffset() > 0) {
			stream.target = endpoint;
			this.port.execute(new StreamCommand.MoveCache(request, source, endpoint));
			this.timers.schedule(stream,
					this.clock.instant().plus(this.leaving.cacheMoveTime(source, this.clock.instant())));
			return;
		}
		open(stream, endpoint, false);
	}

	/**
	 * Handles the lack of an available endpoint. The answer fails unless it is still
	 * streaming from a leaving endpoint.
	 * @param request the request
	 */
	public void notPlaced(RequestId request) {
		StreamEntity stream = running(request);
		if (stream == null || !stream.placing) {
			return;
		}
		if (stream.endpoint != null) {
			// The leaving endpoint is still streaming. It may complete the answer, or
			// another endpoint may become available.
			stream.placing = false;
			this.timers.schedule(stream, this.clock.instant().plus(this.settings.minimumStallTimeout()));
			return;
		}
		giveUp(stream, (stream.answer.attempt() == 0) ? ErrorKind.NO_ENDPOINT : ErrorKind.ANSWER_INCOMPLETE);
	}

	/**
	 * Handles the result of {@link StreamCommand.MoveCache}.
	 * @param request the request
	 * @param target the endpoint that imports the KV cache
	 * @param imported whether the import succeeded
	 */
	public void cacheMoved(RequestId request, EndpointId target, boolean imported) {
		StreamEntity stream = running(request);
		if (stream != null && target.equals(stream.target)) {
			open(stream, target, imported);
		}
	}

	/**
	 * Handles a piece of an answer.
	 * @param request the request
	 * @param piece the piece
	 * @return the result
	 */
	public PieceResult piece(RequestId request, Piece piece) {
		StreamEntity stream = running(request);
		if (stream == null) {
			return new PieceResult.Stale();
		}
		PieceResult result = stream.answer.accept(piece);
		Instant now = this.clock.instant();
		if (result instanceof PieceResult.Accepted accepted) {
			long tokens = accepted.pieces().getLast().toOffset() - accepted.pieces().getFirst().fromOffset();
			stream.pieceReceived(now, tokens);
			stream.attemptsWithoutProgress = 0;
			this.port.execute(new StreamCommand.Deliver(request, accepted.pieces()));
			if (stream.answer.end() != null) {
				finish(stream);
			}
			else if (isTooLarge(stream.answer)) {
				giveUp(stream, ErrorKind.ANSWER_INCOMPLETE);
			}
			else if (stream.target == null) {
				scheduleStallTimeout(stream);
			}
		}
		else if (result instanceof PieceResult.Gap && stream.target == null) {
			this.timers.scheduleSooner(stream, now.plus(this.settings.missingPieceTimeout()));
		}
		else if (result instanceof PieceResult.Duplicate && stream.target == null) {
			// A restarted stream repeats tokens that were already received; it is not
			// stalled.
			stream.pieceReceived(now, piece.toOffset() - piece.fromOffset());
			scheduleStallTimeout(stream);
		}
		return result;
	}

	/**
	 * Handles the end of an answer reported by the endpoint.
	 * @param request the request
	 * @param attempt the attempt that ended
	 * @param totalOffset the offset after its last token
	 * @param finishReason the finish reason reported by the engine
	 */
	public void ended(RequestId request, int attempt, long totalOffset, String finishReason) {
		StreamEntity stream = running(request);
		if (stream == null) {
			return;
		}
		EndResult result = stream.answer.end(attempt, totalOffset, new EndOfAnswer.Complete(finishReason));
		switch (result) {
			case ENDED -> finish(stream);
			case WAITING ->
				this.timers.scheduleSooner(stream, this.clock.instant().plus(this.settings.missingPieceTimeout()));
			case SHORT -> moveAway(stream);
			case STALE -> {
			}
		}
	}

	/**
	 * Handles the failure of an attempt's connection, or an unknown stream at its
	 * endpoint.
	 * @param request the request
	 * @param attempt the attempt
	 * @param streamKnown whether the endpoint may still be running the stream
	 */
	public void connectionFailed(RequestId request, int attempt, boolean streamKnown) {
		StreamEntity stream = running(request);
		if (stream == null || stream.answer.attempt() != attempt) {
			return;
		}
		EndpointId endpoint = stream.endpoint;
		if (streamKnown && endpoint != null && !stream.reattached) {
			reattach(stream, endpoint);
		}
		else {
			moveAway(stream);
		}
	}

	/**
	 * Handles the refusal of an endpoint to resume from given tokens. The answer is
	 * restarted from the beginning.
	 * @param request the request
	 * @param attempt the attempt
	 */
	public void resumeRefused(RequestId request, int attempt) {
		StreamEntity stream = running(request);
		if (stream != null && stream.answer.attempt() == attempt) {
			EndpointId endpoint = stream.endpoint;
			if (stream.resumedTokens > 0) {
				this.counters.revertMove(StreamMove.RESUMED, stream.resumedTokens);
			}
			stream.resumeUnsupported = true;
			if (endpoint != null) {
				open(stream, endpoint, false);
			}
		}
	}

	/**
	 * Handles a reclaim notice for an endpoint. Streams that will not end in time are
	 * moved, and no new stream is started there.
	 * @param endpoint the endpoint
	 * @param reclaimAt the time at which the platform reclaims it
	 */
	public void endpointLeaving(EndpointId endpoint, Instant reclaimAt) {
		if (!this.leaving.add(endpoint, reclaimAt)) {
			return;
		}
		Instant limit = this.leaving.lastUse(reclaimAt);
		for (RequestId request : this.table.at(endpoint)) {
			StreamEntity stream = running(request);
			if (stream != null && stream.estimatedEnd(this.clock.instant()).isAfter(limit)) {
				place(stream);
			}
		}
	}

	/**
	 * Handles the loss of an endpoint, with or without a reclaim notice.
	 * @param endpoint the endpoint
	 */
	public void endpointGone(EndpointId endpoint) {
		for (RequestId request : this.table.at(endpoint)) {
			StreamEntity stream = running(request);
			if (stream != null) {
				moveAway(stream);
			}
		}
	}

	/**
	 * Removes a stream that is now owned by another entry. This entry delivers no further
	 * pieces of it.
	 * @param request the request
	 */
	public void released(RequestId request) {
		StreamEntity stream = running(request);
		if (stream != null) {
			close(stream, false);
			this.table.remove(stream);
		}
	}

	/**
	 * Ends an answer with an error immediately, for a reason known to the caller of this
	 * method.
	 * @param request the request
	 * @param kind the kind of error
	 */
	public void giveUp(RequestId request, ErrorKind kind) {
		StreamEntity stream = running(request);
		if (stream != null) {
			giveUp(stream, kind);
		}
	}

	/**
	 * Handles expired timers: reattaches or moves stalled streams and fails streams past
	 * their deadline.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		StreamTimers.Timer timer = this.timers.poll(now);
		while (timer != null) {
			StreamEntity stream = running(timer.request());
			if (stream != null && this.timers.isDue(timer, stream, now)) {
				timeout(stream, now);
			}
			timer = this.timers.poll(now);
		}
		this.table.removeExpired(now, this.settings.maximumEndedCharacters());
		this.leaving.removeExpired(now);
	}

	/**
	 * Returns the counters.
	 * @return the counters
	 */
	public StreamCounters counters() {
		return this.counters;
	}

	private StreamEntity add(HeldRequest held, long promptTokens, long expectedTokens) {
		StreamEntity stream = new StreamEntity(held, promptTokens, expectedTokens,
				this.settings.maximumBufferedPieces(), this.clock.instant());
		stream.placing = true;
		this.table.add(stream);
		this.timers.schedule(stream, held.deadline());
		return stream;
	}

	private void timeout(StreamEntity stream, Instant now) {
		if (!now.isBefore(stream.held().deadline())) {
			giveUp(stream, ErrorKind.ANSWER_INCOMPLETE);
			return;
		}
		EndpointId target = stream.target;
		EndpointId endpoint = stream.endpoint;
		if (target != null) {
			open(stream, target, false);
		}
		else if (endpoint == null) {
			place(stream);
		}
		else if (this.leaving.contains(endpoint)) {
			place(stream);
		}
		else if (stream.reattached) {
			moveAway(stream);
		}
		else {
			// The connection may be permanently stalled while new connections work, so a
			// new connection to the same endpoint is tried before anything is recomputed.
			reattach(stream, endpoint);
		}
	}

	private void place(StreamEntity stream) {
		stream.placing = true;
		Set<EndpointId> excluded = new LinkedHashSet<>(stream.failed);
		excluded.addAll(this.leaving.all());
		this.timers.schedule(stream, this.clock.instant().plus(this.settings.firstPieceTimeout()));
		this.port.execute(new StreamCommand.Place(stream.held().request(), excluded));
	}

	private void moveAway(StreamEntity stream) {
		EndpointId endpoint = stream.endpoint;
		if (endpoint != null) {
			stream.failed.add(endpoint);
			close(stream, true);
			this.table.setEndpoint(stream, null);
		}
		EndpointId target = stream.target;
		if (target != null) {
			open(stream, target, false);
			return;
		}
		if (!stream.placing) {
			place(stream);
		}
	}

	private void reattach(StreamEntity stream, EndpointId endpoint) {
		if (!beginAttempt(stream)) {
			return;
		}
		stream.placing = false;
		stream.reattached = true;
		this.counters.countMove(StreamMove.REATTACHED, 0);
		scheduleStallTimeout(stream);
		this.port.execute(new StreamCommand.Reattach(stream.held().request(), stream.answer.attempt(), endpoint,
				stream.answer.nextOffset()));
	}

	private void open(StreamEntity stream, EndpointId endpoint, boolean imported) {
		Invariant.check(!this.leaving.contains(endpoint) || endpoint.equals(stream.target),
				"request %s opened at leaving endpoint %s", stream.held().request(), endpoint);
		stream.target = null;
		if (this.leaving.contains(endpoint)) {
			// The target has received a reclaim notice during the transfer of the KV
			// cache.
			place(stream);
			return;
		}
		if (!beginAttempt(stream)) {
			return;
		}
		stream.placing = false;
		stream.reattached = false;
		stream.resumedTokens = 0;
		this.table.setEndpoint(stream, endpoint);
		RequestId request = stream.held().request();
		int attempt = stream.answer.attempt();
		long offset = stream.answer.nextOffset();
		scheduleStallTimeout(stream);
		if (offset == 0 || stream.resumeUnsupported) {
			if (attempt > 1) {
				this.counters.countMove(StreamMove.RESTARTED, stream.promptTokens() + offset);
			}
			this.port.execute(new StreamCommand.Start(request, attempt, endpoint));
			return;
		}
		if (imported) {
			this.counters.countMove(StreamMove.IMPORTED, 0);
		}
		else {
			stream.resumedTokens = stream.promptTokens() + offset;
			this.counters.countMove(StreamMove.RESUMED, stream.resumedTokens);
		}
		this.counters.countContinued();
		this.port.execute(new StreamCommand.Continue(request, attempt, endpoint, offset, stream.answer.text()));
	}

	private boolean beginAttempt(StreamEntity stream) {
		if (stream.attemptsWithoutProgress >= this.settings.maximumAttempts()) {
			giveUp(stream, ErrorKind.ANSWER_INCOMPLETE);
			return false;
		}
		close(stream, false);
		stream.answer.beginAttempt(stream.answer.attempt() + 1);
		stream.attemptStarted(this.clock.instant());
		return true;
	}

	private void close(StreamEntity stream, boolean cancel) {
		EndpointId endpoint = stream.endpoint;
		if (endpoint != null && stream.answer.attempt() > 0) {
			this.port
				.execute(new StreamCommand.Close(stream.held().request(), stream.answer.attempt(), endpoint, cancel));
		}
	}

	private void giveUp(StreamEntity stream, ErrorKind kind) {
		this.counters.countGivenUp();
		close(stream, true);
		boolean ended = stream.answer.giveUp(kind, this.port.retryAfter(stream.held().service()));
		Invariant.check(ended, "answer of %s ended twice", stream.held().request());
		finish(stream);
	}

	// An engine that sends tokens without end would fill the memory until the deadline,
	// whatever its connections are.
	private static boolean isTooLarge(AnswerBuffer answer) {
		return answer.characters() > MAXIMUM_ANSWER_CHARACTERS || answer.nextOffset() > MAXIMUM_ANSWER_TOKENS;
	}

	private void finish(StreamEntity stream) {
		EndOfAnswer end = stream.answer.end();
		Invariant.check(end != null, "answer of %s finished without an end", stream.held().request());
		this.table.end(stream, this.clock.instant().plus(this.settings.keepEnded()));
		if (end != null) {
			this.port.execute(new StreamCommand.End(stream.held().request(), stream.answer.nextOffset(), end));
		}
	}

	private @Nullable StreamEntity running(RequestId request) {
		StreamEntity stream = this.table.find(request);
		return (stream != null && stream.answer.end() == null) ? stream : null;
	}

	private void scheduleStallTimeout(StreamEntity stream) {
		this.timers.schedule(stream, stream.lastPieceAt.plus(stream.stallTimeout(this.settings)));
	}

}
