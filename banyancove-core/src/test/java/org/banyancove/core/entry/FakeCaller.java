package org.banyancove.core.entry;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.banyancove.core.Body;
import org.banyancove.core.RequestId;
import org.banyancove.core.error.CallExecution;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.error.Repetition;
import org.jspecify.annotations.Nullable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A caller that sends one request, reconnects when its connection fails, and verifies
 * every part of the answer.
 */
final class FakeCaller {

	private static final int MAXIMUM_SENDS = 12;

	private final EntryRun run;

	private final RequestId id;

	private final boolean plan;

	private long nextOffset;

	private int sends;

	private long subscriber;

	private RequestId sent;

	private boolean accepted;

	private boolean mayHaveRun;

	private @Nullable FakeEntry entry;

	private @Nullable AnswerPart finalPart;

	private FakeCaller(EntryRun run, RequestId id, boolean plan) {
		this.run = run;
		this.id = id;
		this.sent = id;
		this.plan = plan;
	}

	static FakeCaller plan(EntryRun run, RequestId id) {
		return new FakeCaller(run, id, true);
	}

	static FakeCaller booking(EntryRun run, RequestId id) {
		return new FakeCaller(run, id, false);
	}

	boolean isComplete() {
		return this.finalPart instanceof AnswerPart.EndOfText || this.finalPart instanceof AnswerPart.PlainResponse;
	}

	boolean isFailed() {
		return this.finalPart instanceof AnswerPart.Failure;
	}

	ErrorKind failure() {
		return ((AnswerPart.Failure) Objects.requireNonNull(this.finalPart)).kind();
	}

	boolean isBooking() {
		return !this.plan;
	}

	@Override
	public String toString() {
		RequestEntity request = (this.entry != null) ? this.entry.core().request(this.sent) : null;
		return "plan " + this.plan + " sends " + this.sends + " accepted " + this.accepted + " next " + this.nextOffset
				+ " at " + ((this.entry != null) ? this.entry.address() : "none") + " phase "
				+ ((request != null) ? request.phase + " attempt " + request.attempt + " endpoint " + request.endpoint
						+ " content " + request.attemptRequest : "none");
	}

	// Returns whether every answer so far reported that the call did not run.
	boolean isReportedNotRun() {
		return isFailed() && !this.mayHaveRun;
	}

	String key() {
		return this.id.value();
	}

	void start() {
		reconnect(this.run.anyEntry());
	}

	void entryFailed(FakeEntry failed) {
		if (this.entry == failed && this.finalPart == null) {
			this.mayHaveRun = true;
			this.entry = null;
			this.run.after(100, 1500, () -> reconnect(this.run.anyEntry()));
		}
	}

	void delivered(FakeEntry from, EntryCommand.Deliver deliver) {
		if (from != this.entry || deliver.subscriber().value() != this.subscriber || this.finalPart != null) {
			return;
		}
		switch (deliver.part()) {
			case AnswerPart.Accepted _ -> this.accepted = true;
			case AnswerPart.Restarted _ -> this.nextOffset = 0;
			case AnswerPart.Text text -> text(text);
			case AnswerPart.EndOfText end -> {
				assertThat(this.nextOffset).as("%s is complete", this.id).isEqualTo(FakeEndpoints.TOKENS);
				this.finalPart = end;
			}
			case AnswerPart.PlainResponse response -> this.finalPart = response;
			case AnswerPart.Failure failure -> failed(failure);
		}
	}

	private void text(AnswerPart.Text text) {
		assertThat(text.fromOffset()).as("the next piece of %s", this.id).isEqualTo(this.nextOffset);
		StringBuilder expected = new StringBuilder();
		for (long offset = text.fromOffset(); offset < text.toOffset(); offset++) {
			expected.append(FakeEndpoints.token(this.sent, offset));
		}
		assertThat(text.text()).as("the answer of %s", this.id).isEqualTo(expected.toString());
		this.nextOffset = text.toOffset();
	}

	private void failed(AnswerPart.Failure failure) {
		if (failure.execution() != CallExecution.NOT_RUN) {
			this.mayHaveRun = true;
		}
		boolean retryable = failure.kind().repetition() != Repetition.USELESS
				|| failure.kind() == ErrorKind.REQUEST_UNKNOWN;
		if (!retryable || this.sends >= MAXIMUM_SENDS) {
			this.finalPart = failure;
			return;
		}
		FakeEntry former = this.entry;
		this.entry = null;
		Duration wait = (failure.retryAfter() != null) ? failure.retryAfter() : Duration.ofSeconds(1);
		if (failure.kind() == ErrorKind.REQUEST_UNKNOWN) {
			// All copies of the request are lost: the caller sends it again.
			this.accepted = false;
			this.nextOffset = 0;
		}
		this.run.after(wait.plusMillis(this.run.random().nextInt(500)), () -> reconnect(otherThan(former)));
	}

	private FakeEntry otherThan(@Nullable FakeEntry former) {
		FakeEntry chosen = this.run.anyEntry();
		return (chosen == former) ? this.run.anyEntry() : chosen;
	}

	// The answer of an accepted plan is requested by its identifier; a booking is
	// repeated under its key.
	private void reconnect(FakeEntry next) {
		if (!next.isAlive()) {
			// The connection is refused: nothing was sent.
			this.run.after(500, 1500, () -> reconnect(this.run.anyEntry()));
			return;
		}
		if (this.plan && this.accepted) {
			connect(next);
			next.handle(new EntryEvent.CallerReturned(new SubscriberId(this.subscriber), this.sent, EntryRun.ACCOUNT,
					this.nextOffset));
			return;
		}
		send(next);
	}

	private void send(FakeEntry next) {
		connect(next);
		this.sent = new RequestId(this.id + "-" + this.sends);
		Prompt prompt = this.plan ? new Prompt(8, List.of(), FakeEndpoints.TOKENS) : null;
		Call call = new Call(this.sent, EntryRun.ACCOUNT, this.plan ? EntryRun.PLANNING : EntryRun.ORDERS, "POST", "/",
				"text/plain", Body.of(this.id.value()), this.plan ? null : key(), prompt);
		next.handle(new EntryEvent.CallArrived(new SubscriberId(this.subscriber), call));
	}

	private void connect(FakeEntry next) {
		this.sends++;
		this.entry = next;
		this.subscriber = this.run.nextIncarnation();
	}

}
