package org.banyancove.platform.ledger;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.Incarnation;
import org.banyancove.core.ServiceName;
import org.banyancove.core.ledger.BodyDigest;
import org.banyancove.core.ledger.CallKey;
import org.banyancove.core.ledger.EndedKeys;
import org.banyancove.core.ledger.KeyState;
import org.banyancove.core.ledger.LedgerRecord;
import org.banyancove.core.ledger.RecordId;
import org.banyancove.core.ledger.StoredAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Converts {@link LedgerRecord}s to and from JSON text. The text does not contain the
 * record's identifier, which the log stores separately.
 * <p>
 * Decoding never fails: text of an unsupported kind or malformed text gives the same
 * {@link LedgerRecord.Unrecognized} in every process of this version, so that their folds
 * agree. Unknown fields are ignored. Thread-safe.
 */
public final class LedgerRecordCodec {

	private static final String KIND = "kind";

	private static final String INTENT = "intent";

	private static final String OUTCOME = "outcome";

	private static final String RELEASED = "released";

	private static final String HANDED_OVER = "handed-over";

	private static final String CHECKPOINT = "checkpoint";

	// A kind of its own, because a reader that does not support digests must not treat
	// such a checkpoint as the complete state: it would consider the keys of the digests
	// unused and run their calls again.
	private static final String CHECKPOINT_WITH_DIGESTS = "checkpoint-with-digests";

	private static final String AUTHOR = "author";

	private static final String ACCOUNT = "account";

	private static final String SERVICE = "service";

	private static final String KEY = "key";

	private static final String DIGEST = "digest";

	private static final String WINDOW = "window";

	private static final String CLAIM = "claim";

	private static final String ANSWER = "answer";

	private static final String STATUS = "status";

	private static final String CONTENT_TYPE = "contentType";

	private static final String BODY = "body";

	private static final String COMPLETE = "complete";

	private static final String RECEIVER = "receiver";

	private static final String THROUGH = "through";

	private static final String LOG_TIME = "logTime";

	private static final String PART = "part";

	private static final String PARTS = "parts";

	private static final String STATES = "states";

	private static final String CLAIMANT = "claimant";

	private static final String INTENT_OFFSET = "intentOffset";

	private static final String INTENT_AT = "intentAt";

	private static final String ENDED = "ended";

	private static final String ENDED_AT = "endedAt";

	private static final String DIGESTS = "digests";

	private final JsonMapper mapper = JsonMapper.builder().build();

	/**
	 * Encodes a record as text, without its identifier.
	 * @param record the record
	 * @return the JSON text
	 * @throws IllegalArgumentException if the record is {@link LedgerRecord.Unrecognized}
	 */
	public String encode(LedgerRecord record) {
		ObjectNode node = this.mapper.createObjectNode();
		switch (record) {
			case LedgerRecord.Intent intent -> write(node, intent);
			case LedgerRecord.ClaimantRecord claimant -> write(node, claimant);
			case LedgerRecord.Checkpoint checkpoint -> write(node, checkpoint);
			case LedgerRecord.Unrecognized unrecognized ->
				throw new IllegalArgumentException("record must be of a known kind: " + unrecognized);
		}
		return node.toString();
	}

	/**
	 * Decodes a record.
	 * @param id the identifier that the log stores with the text
	 * @param text the JSON text
	 * @return the record; {@link LedgerRecord.Unrecognized} if this version cannot read
	 * it
	 */
	public LedgerRecord decode(RecordId id, String text) {
		try {
			return read(id, this.mapper.readTree(text));
		}
		catch (JsonProcessingException | IllegalArgumentException | DateTimeException | ArithmeticException ex) {
			return new LedgerRecord.Unrecognized(id);
		}
	}

	private void write(ObjectNode node, LedgerRecord.Intent intent) {
		node.put(KIND, INTENT);
		node.put(AUTHOR, intent.author().toString());
		write(node, intent.key());
		node.put(DIGEST, intent.digest().value());
		node.put(WINDOW, intent.window().toString());
	}

	private void write(ObjectNode node, LedgerRecord.ClaimantRecord record) {
		node.put(AUTHOR, record.author().toString());
		write(node, record.key());
		node.put(CLAIM, record.claimOffset());
		switch (record) {
			case LedgerRecord.Outcome outcome -> {
				node.put(KIND, OUTCOME);
				write(node, outcome.answer());
			}
			case LedgerRecord.Released _ -> node.put(KIND, RELEASED);
			case LedgerRecord.HandedOver handedOver -> {
				node.put(KIND, HANDED_OVER);
				node.put(RECEIVER, handedOver.receiver().toString());
			}
		}
	}

	private void write(ObjectNode node, LedgerRecord.Checkpoint checkpoint) {
		boolean withoutDigests = checkpoint.ended().size() == 0;
		node.put(KIND, withoutDigests ? CHECKPOINT : CHECKPOINT_WITH_DIGESTS);
		node.put(CHECKPOINT, checkpoint.checkpoint().value());
		node.put(THROUGH, checkpoint.through());
		node.put(LOG_TIME, checkpoint.logTime().toString());
		node.put(PART, checkpoint.part());
		node.put(PARTS, checkpoint.parts());
		ArrayNode states = node.putArray(STATES);
		checkpoint.states().forEach((state) -> write(states.addObject(), state));
		if (!withoutDigests) {
			node.put(DIGESTS, Base64.getEncoder().encodeToString(checkpoint.ended().toBytes()));
		}
	}

	private void write(ObjectNode node, KeyState state) {
		write(node, state.key());
		node.put(DIGEST, state.digest().value());
		node.put(CLAIMANT, state.claimant().toString());
		node.put(INTENT_OFFSET, state.intentOffset());
		node.put(CLAIM, state.claimOffset());
		node.put(INTENT_AT, state.intentAt().toString());
		node.put(WINDOW, state.window().toString());
		node.put(ENDED, state.ended());
		Instant endedAt = state.endedAt();
		if (endedAt != null) {
			node.put(ENDED_AT, endedAt.toString());
		}
		write(node, state.answer());
	}

	private void write(ObjectNode node, CallKey key) {
		node.put(ACCOUNT, key.account().value());
		node.put(SERVICE, key.service().value());
		node.put(KEY, key.key());
	}

	private void write(ObjectNode node, @Nullable StoredAnswer answer) {
		if (answer == null) {
			return;
		}
		ObjectNode written = node.putObject(ANSWER);
		written.put(STATUS, answer.status());
		written.put(CONTENT_TYPE, answer.contentType());
		written.put(BODY, Base64.getEncoder().encodeToString(answer.body().toByteArray()));
		written.put(COMPLETE, answer.complete());
	}

	private LedgerRecord read(RecordId id, JsonNode node) {
		return switch (node.path(KIND).asText()) {
			case INTENT -> new LedgerRecord.Intent(id, incarnation(node, AUTHOR), key(node), digest(node),
					Duration.parse(text(node, WINDOW)));
			case OUTCOME ->
				new LedgerRecord.Outcome(id, incarnation(node, AUTHOR), key(node), number(node, CLAIM), answer(node));
			case RELEASED -> new LedgerRecord.Released(id, incarnation(node, AUTHOR), key(node), number(node, CLAIM));
			case HANDED_OVER -> new LedgerRecord.HandedOver(id, incarnation(node, AUTHOR), key(node),
					number(node, CLAIM), incarnation(node, RECEIVER));
			case CHECKPOINT -> checkpoint(id, node, EndedKeys.NONE);
			case CHECKPOINT_WITH_DIGESTS ->
				checkpoint(id, node, EndedKeys.of(Base64.getDecoder().decode(text(node, DIGESTS))));
			default -> new LedgerRecord.Unrecognized(id);
		};
	}

	private LedgerRecord checkpoint(RecordId id, JsonNode node, EndedKeys ended) {
		List<KeyState> states = new ArrayList<>();
		required(node, STATES).forEach((state) -> states.add(state(state)));
		return new LedgerRecord.Checkpoint(id, new RecordId(text(node, CHECKPOINT)), number(node, THROUGH),
				Instant.parse(text(node, LOG_TIME)), Math.toIntExact(number(node, PART)),
				Math.toIntExact(number(node, PARTS)), states, ended);
	}

	private KeyState state(JsonNode node) {
		return new KeyState(key(node), digest(node), incarnation(node, CLAIMANT), number(node, INTENT_OFFSET),
				number(node, CLAIM), Instant.parse(text(node, INTENT_AT)), Duration.parse(text(node, WINDOW)),
				flag(node, ENDED) ? endedAt(node) : null, answer(node));
	}

	// Versions that retained answers as long as keys wrote no end time. The time of the
	// intent is used instead, so that the answer expires sooner, never later.
	private Instant endedAt(JsonNode node) {
		return Instant.parse(text(node, node.has(ENDED_AT) ? ENDED_AT : INTENT_AT));
	}

	private CallKey key(JsonNode node) {
		return new CallKey(new AccountName(text(node, ACCOUNT)), new ServiceName(text(node, SERVICE)), text(node, KEY));
	}

	private BodyDigest digest(JsonNode node) {
		return new BodyDigest(text(node, DIGEST));
	}

	private Incarnation incarnation(JsonNode node, String field) {
		return Incarnation.parse(text(node, field));
	}

	private @Nullable StoredAnswer answer(JsonNode node) {
		JsonNode answer = node.get(ANSWER);
		if (answer == null) {
			return null;
		}
		return new StoredAnswer(Math.toIntExact(number(answer, STATUS)), text(answer, CONTENT_TYPE),
				Body.copyOf(Base64.getDecoder().decode(text(answer, BODY))), flag(answer, COMPLETE));
	}

	private String text(JsonNode node, String field) {
		JsonNode value = required(node, field);
		check(value.isTextual(), field, value);
		return value.asText();
	}

	private long number(JsonNode node, String field) {
		JsonNode value = required(node, field);
		check(value.isIntegralNumber() && value.canConvertToLong(), field, value);
		return value.asLong();
	}

	private boolean flag(JsonNode node, String field) {
		JsonNode value = required(node, field);
		check(value.isBoolean(), field, value);
		return value.asBoolean();
	}

	private JsonNode required(JsonNode node, String field) {
		JsonNode value = node.get(field);
		if (value == null) {
			throw new IllegalArgumentException("field is missing: '" + field + "'");
		}
		return value;
	}

	private void check(boolean valid, String field, JsonNode value) {
		if (!valid) {
			throw new IllegalArgumentException("field '" + field + "' has the wrong type: " + value);
		}
	}

}
