package org.banyancove.core.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.peer.HeldRequest;
import org.jspecify.annotations.Nullable;

/**
 * The stream of a request. Confined to the entry's tick thread.
 */
public final class StreamEntity {

	final AnswerBuffer answer;

	final Set<EndpointId> failed = new LinkedHashSet<>();

	@Nullable EndpointId endpoint;

	@Nullable EndpointId target;

	boolean placing;

	boolean reattached;

	boolean resumeUnsupported;

	int attemptsWithoutProgress;

	long resumedTokens;

	Instant lastPieceAt;

	Instant timerAt = Instant.MAX;

	private final HeldRequest held;

	private final long promptTokens;

	private final long expectedTokens;

	private Duration meanTokenInterval = Duration.ZERO;

	private boolean pieceReceivedInAttempt;

	private Instant due = Instant.MAX;

	StreamEntity(HeldRequest held, long promptTokens, long expectedTokens, int maximumBufferedPieces, Instant now) {
		this.held = held;
		this.promptTokens = promptTokens;
		this.expectedTokens = expectedTokens;
		this.answer = new AnswerBuffer(maximumBufferedPieces);
		this.lastPieceAt = now;
	}

	/**
	 * Returns the request.
	 * @return the request
	 */
	public HeldRequest held() {
		return this.held;
	}

	/**
	 * Returns the answer so far.
	 * @return the answer
	 */
	public AnswerBuffer answer() {
		return this.answer;
	}

	/**
	 * Returns the endpoint that runs the stream.
	 * @return the endpoint, or {@code null} if there is none
	 */
	public @Nullable EndpointId endpoint() {
		return this.endpoint;
	}

	long promptTokens() {
		return this.promptTokens;
	}

	Instant due() {
		return this.due;
	}

	void dueAt(Instant newDue) {
		this.due = newDue;
	}

	void attemptStarted(Instant now) {
		this.lastPieceAt = now;
		this.pieceReceivedInAttempt = false;
		this.attemptsWithoutProgress++;
	}

	void pieceReceived(Instant now, long tokens) {
		if (this.pieceReceivedInAttempt) {
			Duration interval = Duration.between(this.lastPieceAt, now).dividedBy(Math.max(1, tokens));
			// An exponential moving average over about eight pieces.
			this.meanTokenInterval = this.meanTokenInterval.multipliedBy(7).plus(interval).dividedBy(8);
		}
		this.pieceReceivedInAttempt = true;
		this.reattached = false;
		this.lastPieceAt = now;
	}

	/**
	 * Returns the time without a piece after which the stream is considered stalled.
	 * @param settings the settings
	 * @return the time
	 */
	Duration stallTimeout(StreamSettings settings) {
		if (!this.pieceReceivedInAttempt) {
			return settings.firstPieceTimeout();
		}
		Duration interval = this.meanTokenInterval.multipliedBy(settings.stallFactor());
		return (interval.compareTo(settings.minimumStallTimeout()) > 0) ? interval : settings.minimumStallTimeout();
	}

	/**
	 * Returns the estimated end time of the answer.
	 * @param now the current time
	 * @return the estimate, or {@code Instant.MAX} if it is unknown
	 */
	Instant estimatedEnd(Instant now) {
		if (this.meanTokenInterval.isZero() || this.expectedTokens <= 0) {
			return Instant.MAX;
		}
		return now
			.plus(this.meanTokenInterval.multipliedBy(Math.max(0, this.expectedTokens - this.answer.nextOffset())));
	}

}
