package org.banyancove.platform.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.Incarnation;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ledger.BodyDigest;
import org.banyancove.core.ledger.CallKey;
import org.banyancove.core.ledger.EndedKey;
import org.banyancove.core.ledger.EndedKeys;
import org.banyancove.core.ledger.KeyDigest;
import org.banyancove.core.ledger.KeyState;
import org.banyancove.core.ledger.LedgerRecord;
import org.banyancove.core.ledger.RecordId;
import org.banyancove.core.ledger.StoredAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerRecordCodecTests {

	private static final RecordId ID = new RecordId("vm#1.0");

	private final LedgerRecordCodec codec = new LedgerRecordCodec();

	@Property(tries = 300, seed = "4")
	void recordSurvivesARoundTrip(@ForAll("records") LedgerRecord record) {
		assertThat(this.codec.decode(record.id(), this.codec.encode(record))).isEqualTo(record);
	}

	// Text on the log is truncated, corrupted or written by other software. All processes
	// must decode it alike and continue: an exception would stop the fold of each.
	@Property(tries = 300, seed = "5")
	void malformedTextIsUnrecognizedOrARecord(@ForAll("records") LedgerRecord record, @ForAll int cut,
			@ForAll char replacement) {
		StringBuilder text = new StringBuilder(this.codec.encode(record));
		text.setCharAt(Math.floorMod(cut, text.length()), replacement);
		assertThat(this.codec.decode(ID, text.toString())).isNotNull();
		assertThat(this.codec.decode(ID, text.substring(0, Math.floorMod(cut, text.length()))))
			.isEqualTo(new LedgerRecord.Unrecognized(ID));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "null", "[]", "7", "{}", "{\"kind\":\"merged\"}", "{\"kind\":7}",
			"{\"kind\":\"intent\"}", "{\"kind\":\"checkpoint\",\"checkpoint\":\"a\",\"through\":1,"
					+ "\"logTime\":\"2026-01-01T00:00:00Z\",\"part\":3,\"parts\":1,\"states\":[]}" })
	void unsupportedTextIsUnrecognized(String text) {
		assertThat(this.codec.decode(ID, text)).isEqualTo(new LedgerRecord.Unrecognized(ID));
	}

	// A process of a version that does not support digests reads a checkpoint with
	// digests. If it treated the other keys as the complete state, it would run the calls
	// of those digests again.
	@Test
	void checkpointWithDigestsHasItsOwnKind() {
		EndedKey key = new EndedKey(new KeyDigest(1, 2), 3, Instant.EPOCH, 201);
		assertThat(this.codec.encode(checkpoint(EndedKeys.of(List.of(key)))))
			.contains("\"kind\":\"checkpoint-with-digests\"");
		assertThat(this.codec.encode(checkpoint(EndedKeys.NONE))).contains("\"kind\":\"checkpoint\"");
	}

	private LedgerRecord.Checkpoint checkpoint(EndedKeys ended) {
		return new LedgerRecord.Checkpoint(ID, ID, 1, Instant.EPOCH, 0, 1, List.of(), ended);
	}

	@Test
	void unknownFieldsAreIgnored() {
		LedgerRecord.Released released = new LedgerRecord.Released(ID, new Incarnation(new VmId("vm"), 1),
				new CallKey(new AccountName("a"), new ServiceName("s"), "k"), 3);
		String text = this.codec.encode(released).replace("{", "{\"later\":{\"field\":[1]},");
		assertThat(this.codec.decode(ID, text)).isEqualTo(released);
	}

	@Provide
	Arbitrary<LedgerRecord> records() {
		Arbitrary<RecordId> ids = names().map(RecordId::new);
		Arbitrary<Long> offsets = Arbitraries.longs().greaterOrEqual(0);
		Arbitrary<LedgerRecord> intents = Combinators.combine(ids, incarnations(), keys(), digests(), windows())
			.as(LedgerRecord.Intent::new);
		Arbitrary<LedgerRecord> outcomes = Combinators
			.combine(ids, incarnations(), keys(), offsets, answers().injectNull(0.2))
			.as(LedgerRecord.Outcome::new);
		Arbitrary<LedgerRecord> released = Combinators.combine(ids, incarnations(), keys(), offsets)
			.as(LedgerRecord.Released::new);
		Arbitrary<LedgerRecord> handedOver = Combinators.combine(ids, incarnations(), keys(), offsets, incarnations())
			.as(LedgerRecord.HandedOver::new);
		Arbitrary<LedgerRecord> checkpoints = Combinators
			.combine(ids, ids, offsets, times(), Arbitraries.integers().between(0, 4), states().list().ofMaxSize(3),
					endedKeys().list().ofMaxSize(3))
			.as((id, whole, through, time, part, states, ended) -> new LedgerRecord.Checkpoint(id, whole, through, time,
					part, 5, states, EndedKeys.of(ended)));
		return Arbitraries.oneOf(intents, outcomes, released, handedOver, checkpoints);
	}

	private Arbitrary<KeyState> states() {
		return Combinators.combine(keys(), digests(), incarnations(), times(), windows(), answers().injectNull(0.3))
			.as((key, digest, claimant, at, window, answer) -> new KeyState(key, digest, claimant, 5, 9, at, window,
					(answer != null) ? at : null, answer));
	}

	private Arbitrary<EndedKey> endedKeys() {
		Arbitrary<Long> longs = Arbitraries.longs();
		return Combinators.combine(longs, longs, longs, times(), Arbitraries.integers().between(0, 599))
			.as((high, low, body, at, status) -> new EndedKey(new KeyDigest(high, low), body, at, status));
	}

	private Arbitrary<StoredAnswer> answers() {
		Arbitrary<Body> bodies = Arbitraries.bytes().array(byte[].class).ofMaxSize(64).map(Body::copyOf);
		return Combinators
			.combine(Arbitraries.integers().between(100, 599), names(), bodies, Arbitraries.of(true, false))
			.as(StoredAnswer::new);
	}

	private Arbitrary<CallKey> keys() {
		return Combinators.combine(names(), names(), names())
			.as((account, service, key) -> new CallKey(new AccountName(account), new ServiceName(service), key));
	}

	private Arbitrary<Incarnation> incarnations() {
		return Combinators.combine(names().map(VmId::new), Arbitraries.longs()).as(Incarnation::new);
	}

	private Arbitrary<BodyDigest> digests() {
		return names().map(BodyDigest::new);
	}

	private Arbitrary<Duration> windows() {
		return Arbitraries.longs().greaterOrEqual(0).map(Duration::ofNanos);
	}

	private Arbitrary<Instant> times() {
		return Arbitraries.longs()
			.map((nanos) -> Instant.EPOCH.plusNanos(nanos))
			.injectDuplicates(0.1)
			.edgeCases((cases) -> cases.add(Instant.MIN));
	}

	private Arbitrary<String> names() {
		return Arbitraries.strings().ofMinLength(1).ofMaxLength(20).filter((text) -> !text.isBlank());
	}

}
