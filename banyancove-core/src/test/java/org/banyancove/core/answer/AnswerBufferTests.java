package org.banyancove.core.answer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.banyancove.core.error.ErrorKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AnswerBufferTests {

	private static final int LENGTH = 40;

	private final AnswerBuffer buffer = new AnswerBuffer(16);

	/*
	 * Guards against duplicate or missing tokens: pieces are late, duplicated, reordered
	 * and split at different boundaries, and the end arrives before the last piece.
	 * Resumes deliver the pieces that the bounded buffer has dropped.
	 */
	@Property(tries = 300, seed = "4711")
	void reorderedDuplicateAndSplitPiecesGiveCompleteAnswer(@ForAll long seed) {
		Random random = new Random(seed);
		AnswerBuffer answer = new AnswerBuffer(random.nextInt(8));
		List<Piece> sent = new ArrayList<>();
		for (int copy = 0; copy < 2; copy++) {
			sent.addAll(split(random, 0, 0));
		}
		Collections.shuffle(sent, random);
		StringBuilder delivered = new StringBuilder();
		int endAt = random.nextInt(sent.size());
		for (int each = 0; each < sent.size(); each++) {
			if (each == endAt) {
				answer.end(0, LENGTH, new EndOfAnswer.Complete("stop"));
			}
			deliver(answer, sent.get(each), delivered);
		}
		int attempt = 0;
		while (answer.end() == null) {
			attempt++;
			answer.beginAttempt(attempt);
			answer.end(attempt, LENGTH, new EndOfAnswer.Complete("stop"));
			for (Piece piece : split(random, attempt, (int) answer.nextOffset())) {
				deliver(answer, piece, delivered);
			}
		}
		assertThat(delivered.toString()).isEqualTo(text(0, LENGTH)).isEqualTo(answer.text());
	}

	/*
	 * Guards against mixing two attempts: the first endpoint stalls, a second one takes
	 * over, and then pieces of the first one arrive. They are dropped even if they are
	 * contiguous, since their end could truncate the answer.
	 */
	@Test
	void piecesAndEndOfReplacedAttemptAreStale() {
		this.buffer.accept(piece(0, 0, 3));
		this.buffer.beginAttempt(1);
		assertThat(this.buffer.accept(piece(0, 3, 4))).isEqualTo(new PieceResult.Stale());
		assertThat(this.buffer.end(0, 3, new EndOfAnswer.Complete("stop"))).isEqualTo(EndResult.STALE);
		assertThat(this.buffer.accept(piece(1, 3, 5))).isInstanceOf(PieceResult.Accepted.class);
		assertThat(this.buffer.text()).isEqualTo(text(0, 5));
	}

	/*
	 * Guards against delivering a truncated answer as complete: the endpoint reports an
	 * end after eight tokens when only five were received, so the answer waits for the
	 * remaining ones.
	 */
	@Test
	void endAfterGapWaitsAndTooShortEndIsRefused() {
		this.buffer.accept(piece(0, 0, 5));
		assertThat(this.buffer.end(0, 4, new EndOfAnswer.Complete("stop"))).isEqualTo(EndResult.SHORT);
		assertThat(this.buffer.end(0, 8, new EndOfAnswer.Complete("stop"))).isEqualTo(EndResult.WAITING);
		assertThat(this.buffer.hasGap()).isTrue();
		assertThat(this.buffer.accept(piece(0, 6, 8))).isEqualTo(new PieceResult.Gap(5));
		assertThat(this.buffer.accept(piece(0, 5, 6))).isInstanceOf(PieceResult.Accepted.class);
		assertThat(this.buffer.end()).isEqualTo(new EndOfAnswer.Complete("stop"));
		assertThat(this.buffer.accept(piece(0, 8, 9))).isEqualTo(new PieceResult.Stale());
	}

	@Test
	void reconnectedCallerReadsFromItsLastEvent() {
		this.buffer.accept(piece(0, 0, 3));
		this.buffer.accept(piece(0, 3, 4));
		this.buffer.accept(piece(0, 4, 9));
		assertThat(this.buffer.readFrom(3)).extracting(Piece::fromOffset).containsExactly(3L, 4L);
		assertThat(this.buffer.readFrom(0)).hasSize(3);
		assertThat(this.buffer.readFrom(9)).isEmpty();
	}

	/*
	 * Guards against a corrupted answer after reconnecting: a caller has five tokens from
	 * a failed entry, and the next entry uses different piece boundaries. It receives the
	 * complete answer, and the known part is removed by comparing the text.
	 */
	@Test
	void callerWithDifferentBoundariesReceivesCompleteAnswer() {
		this.buffer.accept(piece(0, 0, 4));
		this.buffer.accept(piece(0, 4, 9));
		AnswerBuffer callers = new AnswerBuffer(0);
		callers.accept(piece(0, 0, 5));
		List<Piece> read = this.buffer.readFrom(5);
		assertThat(read).extracting(Piece::fromOffset).containsExactly(0L, 4L);
		assertThat(callers.appendCopy(0, read)).isTrue();
		assertThat(callers.text()).isEqualTo(text(0, 9));
		assertThat(callers.readFrom(5)).containsExactly(piece(0, 5, 9));
	}

	@Test
	void abandonedAnswerEndsOnceWithErrorAndRetryDelay() {
		assertThat(this.buffer.giveUp(ErrorKind.ANSWER_INCOMPLETE, Duration.ofSeconds(3))).isTrue();
		assertThat(this.buffer.giveUp(ErrorKind.INTERNAL, Duration.ofSeconds(9))).isFalse();
		assertThat(this.buffer.end())
			.isEqualTo(new EndOfAnswer.Failed(ErrorKind.ANSWER_INCOMPLETE, Duration.ofSeconds(3)));
	}

	private static void deliver(AnswerBuffer answer, Piece piece, StringBuilder delivered) {
		if (answer.accept(piece) instanceof PieceResult.Accepted accepted) {
			accepted.pieces().forEach((each) -> delivered.append(each.text()));
		}
	}

	private static List<Piece> split(Random random, int attempt, int from) {
		List<Piece> pieces = new ArrayList<>();
		int offset = from;
		while (offset < LENGTH) {
			int next = Math.min(LENGTH, offset + 1 + random.nextInt(3));
			pieces.add(piece(attempt, offset, next));
			offset = next;
		}
		return pieces;
	}

	private static Piece piece(int attempt, int from, int to) {
		return new Piece(attempt, from, to, text(from, to));
	}

	private static String text(int from, int to) {
		StringBuilder text = new StringBuilder();
		for (int token = from; token < to; token++) {
			text.append('t').append(token).append(' ');
		}
		return text.toString();
	}

}
