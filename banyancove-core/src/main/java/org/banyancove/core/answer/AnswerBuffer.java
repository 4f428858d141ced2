package org.banyancove.core.answer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.banyancove.core.Invariant;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * The answer of a request. Reorders pieces, drops stale and duplicate pieces, and keeps
 * the complete answer for callers that reconnect. Confined to the entry's tick thread.
 */
public final class AnswerBuffer {

	private final int maximumBufferedPieces;

	private final List<Piece> pieces = new ArrayList<>();

	private final TreeMap<Long, Piece> outOfOrder = new TreeMap<>();

	private int attempt;

	private long characters;

	private @Nullable PendingEnd pendingEnd;

	private @Nullable EndOfAnswer end;

	/**
	 * Creates an empty answer.
	 * @param maximumBufferedPieces the maximum number of out-of-order pieces to buffer
	 */
	public AnswerBuffer(int maximumBufferedPieces) {
		if (maximumBufferedPieces < 0) {
			throw new IllegalArgumentException("maximumBufferedPieces must not be negative: " + maximumBufferedPieces);
		}
		this.maximumBufferedPieces = maximumBufferedPieces;
	}

	/**
	 * Begins another attempt. Pieces of earlier attempts are stale from then on.
	 * @param newAttempt the number of the attempt, higher than all earlier ones
	 * @throws org.banyancove.core.InvariantViolationException if the number is not higher
	 */
	public void beginAttempt(int newAttempt) {
		Invariant.check(newAttempt > this.attempt, "attempt %s must be above %s", newAttempt, this.attempt);
		this.attempt = newAttempt;
		this.outOfOrder.clear();
		this.pendingEnd = null;
	}

	/**
	 * Accepts a piece of the answer. Pieces may be reordered and duplicated.
	 * @param piece the piece
	 * @return the result
	 */
	public PieceResult accept(Piece piece) {
		if (this.end != null || piece.attempt() != this.attempt) {
			return new PieceResult.Stale();
		}
		if (this.pendingEnd != null && piece.toOffset() > this.pendingEnd.totalOffset) {
			return new PieceResult.Stale();
		}
		long expected = nextOffset();
		if (piece.toOffset() <= expected) {
			return new PieceResult.Duplicate();
		}
		if (piece.fromOffset() > expected) {
			buffer(piece);
			return new PieceResult.Gap(expected);
		}
		Piece remainder = removeKnownPart(piece, expected);
		if (remainder == null) {
			return new PieceResult.Gap(expected);
		}
		int firstNewIndex = this.pieces.size();
		append(remainder);
		appendBuffered();
		applyPendingEnd();
		return new PieceResult.Accepted(this.pieces.subList(firstNewIndex, this.pieces.size()));
	}

	/**
	 * Appends ordered pieces from an owner of the request, regardless of their attempts
	 * and boundaries. Later attempts of this process continue after them.
	 * @param copiedAttempt the owner's attempt
	 * @param copied the pieces, in order and without gaps
	 * @return {@code true} if the answer includes all pieces; {@code false} if preceding
	 * pieces are missing or the texts differ
	 */
	public boolean appendCopy(int copiedAttempt, List<Piece> copied) {
		if (this.end != null) {
			return false;
		}
		this.attempt = Math.max(this.attempt, copiedAttempt);
		StringBuilder copiedText = new StringBuilder();
		for (Piece piece : copied) {
			copiedText.append(piece.text());
			if (piece.toOffset() <= nextOffset()) {
				continue;
			}
			Piece remainder = piece;
			if (piece.fromOffset() != nextOffset()) {
				remainder = removeKnownText(copied.getFirst().fromOffset(), copiedText.toString(), piece);
			}
			if (remainder == null) {
				return false;
			}
			append(remainder);
		}
		applyPendingEnd();
		return true;
	}

	/**
	 * Handles the end of the answer reported by an attempt.
	 * @param endingAttempt the attempt that ended
	 * @param totalOffset the offset after the answer's last token
	 * @param how the end of the answer
	 * @return the result
	 */
	public EndResult end(int endingAttempt, long totalOffset, EndOfAnswer how) {
		if (this.end != null || endingAttempt != this.attempt) {
			return EndResult.STALE;
		}
		if (how instanceof EndOfAnswer.Failed) {
			finish(how);
			return EndResult.ENDED;
		}
		if (totalOffset < nextOffset()) {
			return EndResult.SHORT;
		}
		this.pendingEnd = new PendingEnd(totalOffset, how);
		this.outOfOrder.values().removeIf((piece) -> piece.toOffset() > totalOffset);
		applyPendingEnd();
		return (this.end != null) ? EndResult.ENDED : EndResult.WAITING;
	}

	/**
	 * Ends the answer with an error immediately, regardless of the current attempt.
	 * @param kind the kind of error
	 * @param retryAfter the retry delay
	 * @return {@code true} if the answer had not ended before
	 */
	public boolean giveUp(ErrorKind kind, Duration retryAfter) {
		return end(this.attempt, nextOffset(), new EndOfAnswer.Failed(kind, retryAfter)) == EndResult.ENDED;
	}

	/**
	 * Returns the pieces from an offset, for a caller that reconnects. The caller may
	 * have received pieces with different boundaries from another process: if no piece
	 * begins at the offset, the complete answer is returned, beginning at offset 0.
	 * @param offset the offset after the last token that the caller has received
	 * @return the pieces, in order and without gaps
	 */
	public List<Piece> readFrom(long offset) {
		if (offset >= nextOffset()) {
			return List.of();
		}
		int low = 0;
		int high = this.pieces.size();
		while (low < high) {
			int middle = (low + high) >>> 1;
			if (this.pieces.get(middle).toOffset() <= offset) {
				low = middle + 1;
			}
			else {
				high = middle;
			}
		}
		int first = (this.pieces.get(low).fromOffset() == offset) ? low : 0;
		return List.copyOf(this.pieces.subList(first, this.pieces.size()));
	}

	/**
	 * Returns the text received so far.
	 * @return the text
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		this.pieces.forEach((piece) -> text.append(piece.text()));
		return text.toString();
	}

	/**
	 * Returns the offset of the next expected token.
	 * @return the offset, from 0
	 */
	public long nextOffset() {
		if (this.pieces.isEmpty()) {
			return 0;
		}
		return this.pieces.getLast().toOffset();
	}

	/**
	 * Returns the number of the current attempt, whose pieces are accepted.
	 * @return the attempt
	 */
	public int attempt() {
		return this.attempt;
	}

	/**
	 * Returns the size of the answer.
	 * @return the number of characters
	 */
	public long characters() {
		return this.characters;
	}

	/**
	 * Returns whether pieces or the end were received after a missing piece.
	 * @return {@code true} if there is a gap
	 */
	public boolean hasGap() {
		return !this.outOfOrder.isEmpty() || this.pendingEnd != null;
	}

	/**
	 * Returns the end of the answer.
	 * @return the end, or {@code null} while the answer is incomplete
	 */
	public @Nullable EndOfAnswer end() {
		return this.end;
	}

	private void buffer(Piece piece) {
		if (this.outOfOrder.size() < this.maximumBufferedPieces) {
			this.outOfOrder.putIfAbsent(piece.fromOffset(), piece);
		}
	}

	private @Nullable Piece removeKnownPart(Piece piece, long expected) {
		if (piece.fromOffset() == expected) {
			return piece;
		}
		return removeKnownText(piece.fromOffset(), piece.text(), piece);
	}

	// Another process or attempt may use different piece boundaries. Known tokens can
	// only be removed by comparing the text from a common boundary, since a split at a
	// guessed position would corrupt the answer. Without a common boundary the remainder
	// is requested again from the exact offset.
	private @Nullable Piece removeKnownText(long boundary, String textFromBoundary, Piece last) {
		long expected = nextOffset();
		List<Piece> known = readFrom(boundary);
		if (known.isEmpty() || known.getFirst().fromOffset() != boundary) {
			return null;
		}
		StringBuilder knownText = new StringBuilder();
		known.forEach((each) -> knownText.append(each.text()));
		if (!textFromBoundary.startsWith(knownText.toString())) {
			return null;
		}
		return new Piece(last.attempt(), expected, last.toOffset(), textFromBoundary.substring(knownText.length()));
	}

	private void appendBuffered() {
		while (!this.outOfOrder.isEmpty()) {
			Map.Entry<Long, Piece> first = this.outOfOrder.firstEntry();
			if (first.getKey() > nextOffset()) {
				return;
			}
			this.outOfOrder.pollFirstEntry();
			Piece piece = first.getValue();
			Piece remainder = (piece.toOffset() <= nextOffset()) ? null : removeKnownPart(piece, nextOffset());
			if (remainder != null) {
				append(remainder);
			}
		}
	}

	private void append(Piece piece) {
		Invariant.check(piece.fromOffset() == nextOffset(), "piece at offset %s delivered, expected offset %s",
				piece.fromOffset(), nextOffset());
		Invariant.check(this.end == null, "piece at offset %s delivered after the end", piece.fromOffset());
		this.pieces.add(piece);
		this.characters += piece.text().length();
	}

	private void applyPendingEnd() {
		PendingEnd pending = this.pendingEnd;
		if (pending != null && pending.totalOffset == nextOffset()) {
			Invariant.check(this.outOfOrder.isEmpty(), "answer of %s tokens ends with pieces beyond it",
					pending.totalOffset);
			finish(pending.how);
		}
	}

	private void finish(EndOfAnswer how) {
		this.end = how;
		this.pendingEnd = null;
		this.outOfOrder.clear();
	}

	private record PendingEnd(long totalOffset, EndOfAnswer how) {

	}

}
