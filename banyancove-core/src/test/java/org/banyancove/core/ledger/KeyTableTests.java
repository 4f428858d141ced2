package org.banyancove.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.Incarnation;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class KeyTableTests {

	private static final CallKey KEY = new CallKey(new AccountName("a"), new ServiceName("s"), "k");

	private static final Incarnation FIRST = new Incarnation(new VmId("vm-1"), 1);

	private static final Incarnation SECOND = new Incarnation(new VmId("vm-2"), 2);

	private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

	private static final Duration WINDOW = Duration.ofMinutes(10);

	private static final Duration ANSWER_WINDOW = Duration.ofMinutes(3);

	private static final StoredAnswer ANSWER = new StoredAnswer(201, "text/plain", Body.EMPTY, true);

	private final KeyTable table = new KeyTable(ANSWER_WINDOW);

	private long records;

	// Guards against running a call twice: the append of a handover is duplicated, and
	// the copy arrives after the claim was handed back. The first process may have
	// dispatched the call by then; if the copy took effect, the second process would run
	// it again.
	@Test
	void duplicateHandoverDoesNotMoveLaterClaim() {
		apply(intent(FIRST));
		apply(new LedgerRecord.HandedOver(id(), FIRST, KEY, 0, SECOND));
		apply(new LedgerRecord.HandedOver(id(), SECOND, KEY, 1, FIRST));
		apply(new LedgerRecord.HandedOver(id(), FIRST, KEY, 0, SECOND));
		assertThat(claimant()).isEqualTo(FIRST);
	}

	// As above, for a duplicate release after the same process has claimed the key again.
	@Test
	void duplicateReleaseDoesNotEndLaterClaim() {
		apply(intent(FIRST));
		apply(new LedgerRecord.Released(id(), FIRST, KEY, 0));
		apply(intent(FIRST));
		apply(new LedgerRecord.Released(id(), FIRST, KEY, 0));
		assertThat(claimant()).isEqualTo(FIRST);
	}

	@Test
	void recordsOfOtherProcessesHaveNoEffect() {
		apply(intent(FIRST));
		apply(intent(SECOND));
		apply(new LedgerRecord.Released(id(), SECOND, KEY, 0));
		apply(new LedgerRecord.Outcome(id(), SECOND, KEY, 1, null));
		assertThat(this.table.find(KEY)).hasValueSatisfying((state) -> assertThat(state.ended()).isFalse());
		assertThat(claimant()).isEqualTo(FIRST);
	}

	@Test
	void keyExpiresByRecordTime() {
		apply(intent(FIRST));
		this.table.apply(1, intent(SECOND), START.plus(WINDOW).minusNanos(1));
		assertThat(claimant()).isEqualTo(FIRST);
		this.table.apply(2, intent(SECOND), START.plus(WINDOW));
		assertThat(claimant()).isEqualTo(SECOND);
	}

	// Guards against readers that disagree on the winner: a key expires between the
	// creation of a checkpoint and its append, and an intent loses before the key
	// expires. A reader that starts from the checkpoint must also consider the intent
	// lost; with the time of the newest record it would consider it the winner.
	@Test
	void checkpointIsReplayedAtItsLogTime() {
		apply(intent(FIRST));
		List<LedgerRecord.Checkpoint> checkpoint = this.table.checkpoint(id());
		Instant before = START.plus(WINDOW).minusSeconds(1);
		LedgerRecord losingIntent = intent(SECOND);
		KeyTable reader = new KeyTable();
		reader.trimmed(1);
		reader.apply(1, losingIntent, before);
		reader.apply(2, checkpoint.getFirst(), START.plus(WINDOW));
		this.table.apply(1, losingIntent, before);
		this.table.apply(2, checkpoint.getFirst(), START.plus(WINDOW));
		assertThat(this.table.find(KEY)).isEmpty();
		assertThat(reader.find(KEY)).isEmpty();
	}

	// Guards against running a call again after its answer has expired: a process that
	// did not read the first intent appends another one. The digest alone must make it
	// lose, up to the end of the window.
	@Test
	void digestKeepsKeyClaimedUntilEndOfWindow() {
		Instant claimed = START.plusNanos(999_999_999);
		this.table.apply(0, intent(FIRST), claimed);
		this.table.apply(1, new LedgerRecord.Outcome(id(), FIRST, KEY, 0, ANSWER), claimed);
		this.table.apply(2, intent(SECOND), claimed.plus(WINDOW).minusNanos(1));
		assertThat(this.table.find(KEY)).hasValueSatisfying((status) -> {
			assertThat(status).isInstanceOf(EndedKey.class);
			assertThat(status.matches(new BodyDigest("d"))).isTrue();
			assertThat(status.matches(new BodyDigest("other"))).isFalse();
		});
		this.table.apply(3, intent(SECOND), claimed.plus(WINDOW));
		assertThat(claimant()).isEqualTo(SECOND);
	}

	// Guards against losing a late outcome: a claim must not be reduced to a digest
	// before its call ends, or the outcome would be lost for all repeats.
	@Test
	void runningCallKeepsFullState() {
		apply(intent(FIRST));
		this.table.apply(1, new LedgerRecord.Unrecognized(id()), START.plus(ANSWER_WINDOW.multipliedBy(2)));
		assertThat(claimant()).isEqualTo(FIRST);
	}

	// Guards against losing keys: a reader starts from a checkpoint with more digests
	// than fit into one part. All of these keys must be claimed for the reader.
	@Test
	void checkpointContainsAllDigests() {
		int keys = 9000;
		for (int number = 0; number < keys; number++) {
			CallKey key = new CallKey(KEY.account(), KEY.service(), "k" + number);
			apply(new LedgerRecord.Intent(id(), FIRST, key, new BodyDigest("d"), WINDOW));
			apply(new LedgerRecord.Outcome(id(), FIRST, key, this.table.nextOffset() - 1, ANSWER));
		}
		this.table.apply(this.table.nextOffset(), new LedgerRecord.Unrecognized(id()), START.plus(ANSWER_WINDOW));
		assertThat(this.table.endedKeys()).hasSize(keys);
		KeyTable reader = new KeyTable(ANSWER_WINDOW);
		reader.trimmed(5);
		reader.restore(this.table.checkpoint(id()));
		assertThat(reader.endedKeys()).isEqualTo(this.table.endedKeys());
		assertThat(reader.find(new CallKey(KEY.account(), KEY.service(), "k4711"))).isPresent();
	}

	private LedgerRecord.Intent intent(Incarnation author) {
		return new LedgerRecord.Intent(id(), author, KEY, new BodyDigest("d"), WINDOW);
	}

	private void apply(LedgerRecord record) {
		this.table.apply(this.table.nextOffset(), record, START);
	}

	private Incarnation claimant() {
		return ((KeyState) this.table.find(KEY).orElseThrow()).claimant();
	}

	private RecordId id() {
		return new RecordId("record-" + this.records++);
	}

}
