package org.banyancove.core.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.answer.Piece;
import org.banyancove.core.answer.PieceResult;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.peer.CallKind;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.Progress;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StreamSystemTests implements StreamPort {

	private static final RequestId REQUEST = new RequestId("r-1");

	private static final EndpointId FIRST = new EndpointId("e-1");

	private static final EndpointId SECOND = new EndpointId("e-2");

	private static final Duration RETRY_AFTER = Duration.ofSeconds(9);

	private final List<StreamCommand> commands = new ArrayList<>();

	private final StreamTable table = new StreamTable();

	private Instant now = Instant.EPOCH;

	private final StreamSystem system = new StreamSystem(this.table, () -> this.now, StreamSettings.defaults(), this);

	/*
	 * Guards against a stalled connection while new connections work: the stream is
	 * reattached over a new connection, and pieces from the old connection are dropped.
	 */
	@Test
	void stalledStreamIsReattachedAtSameEndpoint() {
		start();
		this.system.piece(REQUEST, piece(1, 0, 3));
		this.system.piece(REQUEST, piece(1, 3, 4));
		pass(Duration.ofSeconds(2));
		assertThat(this.commands).containsSubsequence(new StreamCommand.Close(REQUEST, 1, FIRST, false),
				new StreamCommand.Reattach(REQUEST, 2, FIRST, 4));
		assertThat(this.system.piece(REQUEST, piece(1, 4, 5))).isEqualTo(new PieceResult.Stale());
		assertThat(this.system.piece(REQUEST, piece(2, 4, 5))).isInstanceOf(PieceResult.Accepted.class);
	}

	/*
	 * The engine itself hangs, so the new connection stalls as well. The stream moves to
	 * another endpoint with its tokens so far, which count as recomputed.
	 */
	@Test
	void streamStalledAfterReattachmentIsResumedElsewhere() {
		start();
		this.system.piece(REQUEST, piece(1, 0, 4));
		pass(Duration.ofSeconds(13));
		assertThat(this.commands).contains(new StreamCommand.Place(REQUEST, Set.of(FIRST)));
		this.system.placed(REQUEST, SECOND);
		assertThat(this.commands).contains(new StreamCommand.Continue(REQUEST, 3, SECOND, 4, text(0, 4)));
		assertThat(this.system.counters().recomputedTokens(StreamMove.RESUMED)).isEqualTo(104);
	}

	/*
	 * The engine's VM receives a reclaim notice during a long answer. The KV cache is
	 * moved while the stream continues, and the answer continues at another endpoint
	 * without recomputation.
	 */
	@Test
	void streamContinuesWhileItsCacheIsMoved() {
		start();
		this.system.piece(REQUEST, piece(1, 0, 4));
		this.system.endpointLeaving(FIRST, this.now.plusSeconds(30));
		assertThat(this.commands).contains(new StreamCommand.Place(REQUEST, Set.of(FIRST)));
		this.system.placed(REQUEST, SECOND);
		this.system.piece(REQUEST, piece(1, 4, 6));
		this.system.cacheMoved(REQUEST, SECOND, true);
		assertThat(this.commands).contains(new StreamCommand.MoveCache(REQUEST, FIRST, SECOND),
				new StreamCommand.Continue(REQUEST, 2, SECOND, 6, text(0, 6)));
		assertThat(this.system.counters().moves(StreamMove.IMPORTED)).isEqualTo(1);
		assertThat(this.system.counters().recomputedTokens(StreamMove.RESUMED)).isZero();
	}

	@Test
	void streamIsResumedIfCacheMoveTimesOut() {
		start();
		this.system.piece(REQUEST, piece(1, 0, 4));
		this.system.endpointLeaving(FIRST, this.now.plusSeconds(8));
		this.system.placed(REQUEST, SECOND);
		pass(Duration.ofSeconds(4));
		assertThat(this.commands).contains(new StreamCommand.Continue(REQUEST, 2, SECOND, 4, text(0, 4)));
		this.system.cacheMoved(REQUEST, SECOND, true);
		assertThat(this.system.counters().moves(StreamMove.IMPORTED)).isZero();
	}

	/*
	 * Guards against starting a stream at a leaving endpoint: the placement has not
	 * received the notice yet and selects the leaving endpoint. The stream system
	 * requests another one.
	 */
	@Test
	void noStreamIsStartedAtLeavingEndpoint() {
		this.system.endpointLeaving(FIRST, this.now.plusSeconds(30));
		start();
		assertThat(this.commands).containsExactly(new StreamCommand.Place(REQUEST, Set.of(FIRST)));
		this.system.placed(REQUEST, SECOND);
		assertThat(this.commands).contains(new StreamCommand.Start(REQUEST, 1, SECOND));
	}

	@Test
	void missingPieceIsRequestedAfterTimeout() {
		start();
		this.system.piece(REQUEST, piece(1, 0, 2));
		assertThat(this.system.piece(REQUEST, piece(1, 3, 4))).isEqualTo(new PieceResult.Gap(2));
		pass(Duration.ofMillis(300));
		assertThat(this.commands).contains(new StreamCommand.Reattach(REQUEST, 2, FIRST, 2));
	}

	/*
	 * Guards against delivering a truncated answer as complete: the engine ends after
	 * fewer tokens than it has sent. The stream continues at another endpoint.
	 */
	@Test
	void truncatedAnswerIsNotEnded() {
		start();
		this.system.piece(REQUEST, piece(1, 0, 5));
		this.system.ended(REQUEST, 1, 3, "stop");
		assertThat(this.commands).contains(new StreamCommand.Place(REQUEST, Set.of(FIRST)));
		assertThat(this.commands).noneMatch(StreamCommand.End.class::isInstance);
	}

	@Test
	void streamWithoutEndpointFailsImmediatelyWithRetryDelay() {
		start();
		this.system.piece(REQUEST, piece(1, 0, 4));
		this.system.endpointGone(FIRST);
		this.system.notPlaced(REQUEST);
		assertThat(this.commands.getLast()).isEqualTo(
				new StreamCommand.End(REQUEST, 4, new EndOfAnswer.Failed(ErrorKind.ANSWER_INCOMPLETE, RETRY_AFTER)));
		assertThat(this.table.running()).isZero();
	}

	@Test
	void deadlineEndsAnswerWithSingleError() {
		start();
		pass(Duration.ofSeconds(61));
		assertThat(this.commands.stream().filter(StreamCommand.End.class::isInstance)).hasSize(1);
		assertThat(this.system.counters().givenUp()).isEqualTo(1);
	}

	/*
	 * An engine that does not support resuming recomputes the answer from the beginning.
	 * No token is delivered twice, and all tokens count as recomputed.
	 */
	@Test
	void refusedResumeRestartsWithoutRepeatingTokens() {
		this.system.adopt(held(), new Progress(null, 1, 0, List.of(piece(1, 0, 4))), 100, 10);
		this.system.placed(REQUEST, SECOND);
		this.system.resumeRefused(REQUEST, 2);
		assertThat(this.commands).contains(new StreamCommand.Start(REQUEST, 3, SECOND));
		assertThat(this.system.piece(REQUEST, piece(3, 0, 3))).isEqualTo(new PieceResult.Duplicate());
		this.system.piece(REQUEST, piece(3, 3, 4));
		this.system.piece(REQUEST, piece(3, 4, 6));
		assertThat(this.commands.getLast()).isEqualTo(new StreamCommand.Deliver(REQUEST, List.of(piece(3, 4, 6))));
		assertThat(this.system.counters().recomputedTokens(StreamMove.RESTARTED)).isEqualTo(104);
		assertThat(this.system.counters().recomputedTokens(StreamMove.RESUMED)).isZero();
	}

	/*
	 * As above, but a piece of the second run spans the end of the received tokens. The
	 * overlapping piece cannot be split reliably, so the remainder is requested from the
	 * exact offset.
	 */
	@Test
	void pieceSpanningEndOfReceivedTokensIsRequestedAgain() {
		start();
		this.system.piece(REQUEST, piece(1, 0, 4));
		assertThat(this.system.piece(REQUEST, piece(1, 3, 6))).isEqualTo(new PieceResult.Gap(4));
		pass(Duration.ofMillis(300));
		assertThat(this.commands).contains(new StreamCommand.Reattach(REQUEST, 2, FIRST, 4));
	}

	@Test
	void endedAnswersAreKeptForLimitedTime() {
		start();
		this.system.piece(REQUEST, piece(1, 0, 4));
		this.system.ended(REQUEST, 1, 4, "stop");
		assertThat(this.table.find(REQUEST)).isNotNull();
		pass(StreamSettings.defaults().keepEnded().plusSeconds(2));
		assertThat(this.table.find(REQUEST)).isNull();
	}

	/*
	 * Guards against an engine whose tokens have no end: the answer is kept for callers
	 * that reconnect, and would fill the memory before the deadline ends it.
	 */
	@Test
	void answerWithoutEndIsGivenUp() {
		String text = "x".repeat(1 << 20);
		start();
		int tokens = 0;
		while (tokens < 20
				&& this.system.piece(REQUEST, new Piece(1, tokens, tokens + 1, text)) instanceof PieceResult.Accepted) {
			tokens++;
		}
		assertThat(tokens).isEqualTo(9);
		assertThat(this.commands).contains(new StreamCommand.Close(REQUEST, 1, FIRST, true),
				new StreamCommand.End(REQUEST, 9, new EndOfAnswer.Failed(ErrorKind.ANSWER_INCOMPLETE, RETRY_AFTER)));
	}

	@Test
	void answerOfTooManyTokensIsGivenUp() {
		start();
		int tokens = 0;
		while (tokens < StreamSystem.MAXIMUM_ANSWER_TOKENS * 2 && this.system.piece(REQUEST,
				new Piece(1, tokens, tokens + 1024, "x")) instanceof PieceResult.Accepted) {
			tokens += 1024;
		}
		assertThat(tokens).isEqualTo(StreamSystem.MAXIMUM_ANSWER_TOKENS + 1024);
		assertThat(this.commands).last().isInstanceOf(StreamCommand.End.class);
	}

	private void start() {
		this.system.start(held(), FIRST, 100, 0);
	}

	private HeldRequest held() {
		return new HeldRequest(REQUEST, new AccountName("lagon"), new ServiceName("plans"), CallKind.MODEL, 0, "POST",
				"/", Body.EMPTY, null, this.now.plusSeconds(60));
	}

	private void pass(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			this.now = this.now.plusMillis(100);
			this.system.tick();
		}
	}

	@Override
	public void execute(StreamCommand command) {
		this.commands.add(command);
	}

	@Override
	public Duration retryAfter(ServiceName service) {
		return RETRY_AFTER;
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
