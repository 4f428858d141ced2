package org.banyancove.platform.profile;

import java.time.Instant;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.banyancove.core.ServiceName;
import org.banyancove.core.entry.ProfileTextCodec;
import org.banyancove.core.profile.ProfileEntry;
import org.banyancove.core.profile.ProfilePage;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.core.profile.ProfileTableState;
import org.banyancove.platform.LogPage;
import org.banyancove.platform.LogRecord;
import org.banyancove.platform.NewRecord;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Converts the profiles stream to and from JSON, on the log and between entries.
 * Immutable and thread-safe.
 * <p>
 * A record of a kind that this version does not support, or one that it cannot read,
 * keeps its offset and has no effect, so that neither a record of a newer version nor a
 * record without its profile stops the fold of a reader. Unknown fields are ignored.
 */
public final class ProfileRecordCodec implements ProfileTextCodec {

	private static final Logger logger = LoggerFactory.getLogger(ProfileRecordCodec.class);

	private static final String PROFILE_CHANGED = "profile-changed";

	private static final String SERVICE_CHANGED = "service-changed";

	private static final String SERVICE_RETIRED = "service-retired";

	private static final String CHECKPOINT = "checkpoint";

	private final ObjectMapper mapper = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.serializationInclusion(JsonInclude.Include.NON_NULL)
		.build();

	/**
	 * Encodes a record.
	 * @param record the record
	 * @return the JSON text, in one line
	 */
	public String encode(ProfileRecord record) {
		return writeDocument(toDocument(record));
	}

	private static RecordDocument toDocument(ProfileRecord record) {
		return switch (record) {
			case ProfileRecord.ProfileChanged changed -> new RecordDocument(PROFILE_CHANGED, changed.recordId(),
					changed.expectedRevision(), ProfileDocument.of(changed.profile()), null, null, null);
			case ProfileRecord.ServiceChanged changed -> new RecordDocument(SERVICE_CHANGED, changed.recordId(),
					changed.expectedRevision(), null, ServiceDocument.of(changed.service()), null, null);
			case ProfileRecord.ServiceRetired retired -> new RecordDocument(SERVICE_RETIRED, retired.recordId(),
					retired.expectedRevision(), null, null, retired.service().value(), null);
			case ProfileRecord.ProfilesCheckpoint checkpoint ->
				new RecordDocument(CHECKPOINT, null, 0, null, null, null, StateDocument.of(checkpoint.state()));
		};
	}

	@Override
	public String write(ProfileEntry entry) {
		ProfileRecord record = entry.record();
		return writeDocument(new EntryDocument(entry.offset(), entry.appendedAt().toString(),
				(record != null) ? toDocument(record) : null));
	}

	@Override
	public String write(ProfileTableState state) {
		return writeDocument(StateDocument.of(state));
	}

	@Override
	public @Nullable ProfileEntry readEntry(String text) {
		return read(text, EntryDocument.class);
	}

	@Override
	public @Nullable ProfileTableState readState(String text) {
		return read(text, StateDocument.class);
	}

	/**
	 * Encodes a change for the log, with its own identifier.
	 * @param change the change
	 * @return the record to append
	 */
	public NewRecord newRecord(ProfileRecord.Change change) {
		return new NewRecord(change.recordId(), encode(change));
	}

	/**
	 * Decodes a record.
	 * @param text the JSON text
	 * @return the record, or {@code null} if its kind is not supported or it is
	 * incomplete
	 */
	public @Nullable ProfileRecord decode(String text) {
		return read(text, RecordDocument.class);
	}

	/**
	 * Decodes a page of the log.
	 * @param page the page
	 * @return the page with decoded records
	 */
	public ProfilePage decode(LogPage page) {
		return new ProfilePage(page.firstRetained(), page.endOffset(),
				page.records().stream().map(this::decode).toList());
	}

	private ProfileEntry decode(LogRecord log) {
		return new ProfileEntry(log.offset(), log.appendedAt(), decode(log.data()));
	}

	private <D extends Document<T>, T> @Nullable T read(String text, Class<D> type) {
		try {
			return this.mapper.readValue(text, type).value();
		}
		catch (JsonProcessingException | RuntimeException ex) {
			logger.warn("Skipping unreadable text of the profiles stream: {}", ex.toString());
			return null;
		}
	}

	private String writeDocument(Object document) {
		try {
			return this.mapper.writeValueAsString(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("Cannot write " + document, ex);
		}
	}

	/**
	 * The JSON document of a record. Its kind determines which one of the last four
	 * components is present.
	 */
	private record RecordDocument(String kind, @Nullable String recordId, long expectedRevision,
			@Nullable ProfileDocument profile, @Nullable ServiceDocument service, @Nullable String serviceName,
			@Nullable StateDocument state) implements Document<ProfileRecord> {

		@Override
		public @Nullable ProfileRecord value() {
			if (CHECKPOINT.equals(this.kind) && this.state != null) {
				return new ProfileRecord.ProfilesCheckpoint(this.state.value());
			}
			return (this.recordId != null) ? change(this.recordId) : null;
		}

		private @Nullable ProfileRecord change(String id) {
			if (PROFILE_CHANGED.equals(this.kind) && this.profile != null) {
				return new ProfileRecord.ProfileChanged(id, this.expectedRevision, this.profile.profile());
			}
			if (SERVICE_CHANGED.equals(this.kind) && this.service != null) {
				return new ProfileRecord.ServiceChanged(id, this.expectedRevision, this.service.service());
			}
			if (SERVICE_RETIRED.equals(this.kind) && this.serviceName != null) {
				return new ProfileRecord.ServiceRetired(id, this.expectedRevision, new ServiceName(this.serviceName));
			}
			return null;
		}

	}

	/**
	 * The JSON document of a record with its offset, as entries relay it.
	 */
	private record EntryDocument(long offset, String appendedAt,
			@Nullable RecordDocument record) implements Document<ProfileEntry> {

		@Override
		public ProfileEntry value() {
			return new ProfileEntry(this.offset, Instant.parse(this.appendedAt),
					(this.record != null) ? this.record.value() : null);
		}

	}

}
