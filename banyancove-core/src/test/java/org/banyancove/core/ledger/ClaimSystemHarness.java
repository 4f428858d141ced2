package org.banyancove.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;

import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.error.ErrorKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Claim systems over one slot, driven by tests one event at a time.
 */
final class ClaimSystemHarness {

	static final ClaimSettings SETTINGS = new ClaimSettings(1, Duration.ofMillis(20), Duration.ofSeconds(1),
			Duration.ofHours(1), Duration.ofMinutes(45), Duration.ofHours(2), Duration.ofSeconds(30),
			Duration.ofSeconds(1), 1000, 2, 100, 50, 16);

	static final CallKey KEY = new CallKey(new AccountName("quay"), new ServiceName("orders"), "booking-1");

	static final StoredAnswer BOOKED = new StoredAnswer(201, "text/plain", Body.copyOf(new byte[] { 1, 2 }), true);

	private static final KeySlot SLOT = new KeySlot(0);

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	final FakeLog log = new FakeLog();

	private Instant now = Instant.parse("2026-01-01T00:00:00Z");

	private long starts;

	Entry entry() {
		return new Entry(new Incarnation(new VmId("vm"), this.starts++));
	}

	void pass(Duration time) {
		this.now = this.now.plus(time);
	}

	void appendNow(LedgerRecord record) {
		this.log.append(List.of(record), this.now);
	}

	void trim(Duration retention) {
		this.log.trim(this.now, retention);
	}

	final class Entry implements ClaimPort {

		final Incarnation self;

		final ClaimSystem system;

		final List<RequestId> dispatched = new ArrayList<>();

		private final List<Sent> sent = new ArrayList<>();

		private final Map<RequestId, ClaimAnswer> answers = new HashMap<>();

		Entry(Incarnation self) {
			this.self = self;
			this.system = new ClaimSystem(self, () -> ClaimSystemHarness.this.now, new SplittableRandom(1), SETTINGS,
					this);
			read();
		}

		RequestId submit(String request, String body) {
			RequestId id = new RequestId(request);
			this.system.submit(
					new ClaimRequest(id, KEY, new BodyDigest(body), ClaimSystemHarness.this.now.plus(REQUEST_TIMEOUT)));
			return id;
		}

		Entry send() {
			pass(SETTINGS.batchWindow());
			this.system.tick();
			return this;
		}

		Entry tickAfter(Duration time) {
			pass(time);
			this.system.tick();
			return this;
		}

		// Applies the sent appends to the log and delivers the results.
		Entry apply() {
			List<Sent> drained = drainSent();
			drained.forEach((append) -> this.system.appendAnswered(append.id(),
					ClaimSystemHarness.this.log.append(append.records(), ClaimSystemHarness.this.now)));
			return this;
		}

		// Applies the sent appends to the log and drops the results.
		Entry applyUnanswered() {
			drainSent()
				.forEach((append) -> ClaimSystemHarness.this.log.append(append.records(), ClaimSystemHarness.this.now));
			return this;
		}

		// Delays the sent appends and drops their results.
		List<LedgerRecord> delay() {
			return drainSent().stream().flatMap((append) -> append.records().stream()).toList();
		}

		Entry read() {
			FakeLog.Read read = ClaimSystemHarness.this.log.read(this.system.table(SLOT).nextOffset(), 1000);
			this.system.recordsRead(SLOT, read.firstRetained(), read.endOffset(), read.records());
			return this;
		}

		void ended(RequestId request, DispatchResult result) {
			this.system.dispatchEnded(request, result);
		}

		ClaimAnswer answer(RequestId request) {
			return Objects.requireNonNull(this.answers.get(request), () -> "no answer to " + request);
		}

		void assertRefused(RequestId request, ErrorKind kind) {
			assertThat(answer(request)).isInstanceOfSatisfying(ClaimAnswer.Refused.class, (refused) -> {
				assertThat(refused.kind()).isEqualTo(kind);
				assertThat(refused.retryAfter()).isPositive();
			});
		}

		void assertWaits(RequestId request) {
			assertThat(this.answers).doesNotContainKey(request);
		}

		@Override
		public void append(KeySlot slot, AppendId append, List<LedgerRecord> records) {
			this.sent.add(new Sent(append, records));
		}

		@Override
		public void dispatch(RequestId request, CallKey key, long intentOffset) {
			this.dispatched.add(request);
		}

		@Override
		public void answer(RequestId request, ClaimAnswer answer) {
			assertThat(this.answers.put(request, answer)).as("earlier answer to %s", request).isNull();
		}

		private List<Sent> drainSent() {
			List<Sent> drained = List.copyOf(this.sent);
			this.sent.clear();
			return drained;
		}

	}

	private record Sent(AppendId id, List<LedgerRecord> records) {

	}

}
