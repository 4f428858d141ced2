package org.banyancove.core.handover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.RequestId;
import org.banyancove.core.answer.AnswerReader;
import org.banyancove.core.answer.Piece;

/**
 * A caller that reads its answer, reconnects to another entry without progress, and
 * verifies each token.
 */
final class FakeCaller {

	private static final Duration STALL_TIMEOUT = Duration.ofSeconds(15);

	private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

	final RequestId request;

	/** The events of the request, printed if a check fails. */
	final List<String> trace = new ArrayList<>();

	FakeEntry entry;

	boolean reconnects;

	long offset;

	private final StringBuilder text = new StringBuilder();

	private AnswerReader reader = new AnswerReader(0);

	private State state = State.OFFERED;

	private boolean lostByAllCopies;

	private Instant progressAt;

	private Instant polledAt = Instant.EPOCH;

	FakeCaller(RequestId request, FakeEntry entry, Instant now) {
		this.request = request;
		this.entry = entry;
		this.progressAt = now;
	}

	void accepted(FakeEntry by) {
		EntryFleet.check(by == this.entry && this.state == State.OFFERED, this.request, "accepted twice");
		this.state = State.ACCEPTED;
	}

	void delivered(FakeEntry by, List<Piece> pieces, Instant now) {
		if (by != this.entry || this.state == State.WHOLE) {
			return;
		}
		List<Piece> delivered = this.reader.accept(pieces);
		if (delivered == null) {
			this.reader = new AnswerReader(this.offset);
			return;
		}
		for (Piece piece : delivered) {
			if (piece.fromOffset() == 0) {
				this.text.setLength(0);
				this.offset = 0;
			}
			EntryFleet.check(piece.fromOffset() == this.offset, this.request,
					"expected " + this.offset + ", got " + piece.fromOffset());
			this.text.append(piece.text());
			this.offset = piece.toOffset();
			this.progressAt = now;
		}
		EntryFleet.check(this.text.toString().equals(FakeEngine.text(this.request, 0, this.offset)), this.request,
				"wrong text: " + this.text);
	}

	void completed(FakeEntry by) {
		if (by == this.entry && this.offset == FakeEngine.TOKENS) {
			this.state = State.WHOLE;
		}
	}

	void reclaimed(FakeEntry leaving, boolean keptByOthers) {
		EntryFleet.check(this.state != State.ACCEPTED || keptByOthers, this.request,
				"lost by the announced reclaim of " + leaving.self.incarnation() + this.trace);
	}

	void entryDied(FakeEntry died, boolean kept) {
		if (this.state == State.OFFERED && died == this.entry) {
			this.state = State.NEVER_ACCEPTED;
		}
		else if (this.state == State.ACCEPTED && !kept) {
			this.lostByAllCopies = true;
		}
	}

	void reconnected(FakeEntry other, Instant now) {
		this.entry = other;
		this.reconnects = true;
		this.reader = new AnswerReader(this.offset);
		this.progressAt = now;
	}

	boolean isWaiting() {
		return this.state == State.ACCEPTED;
	}

	boolean isStalled(Instant now) {
		return this.progressAt.plus(STALL_TIMEOUT).isBefore(now);
	}

	boolean mayPoll(Instant now) {
		if (this.polledAt.plus(POLL_INTERVAL).isAfter(now)) {
			return false;
		}
		this.polledAt = now;
		return true;
	}

	State state() {
		if (this.state == State.ACCEPTED && this.lostByAllCopies) {
			return State.LOST_WITH_ALL_COPIES;
		}
		return this.state;
	}

	enum State {

		OFFERED, NEVER_ACCEPTED, ACCEPTED, WHOLE, LOST_WITH_ALL_COPIES

	}

}
