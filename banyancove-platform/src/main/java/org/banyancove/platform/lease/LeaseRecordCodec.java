package org.banyancove.platform.lease;

import org.banyancove.core.planner.LeaseRecord;
import org.banyancove.platform.NewRecord;
import org.banyancove.platform.json.RecordMapper;
import org.banyancove.platform.json.UnreadableRecordException;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Converts records of the leases stream to and from JSON. Immutable and thread-safe.
 * <p>
 * A record of a kind that this version does not support, or an incomplete record, has no
 * effect, so that a record of a newer version does not stop older planners.
 */
public final class LeaseRecordCodec {

	private static final Logger logger = LoggerFactory.getLogger(LeaseRecordCodec.class);

	private final RecordMapper<LeaseRecord> mapper = new RecordMapper<>(LeaseRecord.class);

	/**
	 * Encodes a record for the log, with its own identifier.
	 * @param record the record
	 * @return the record to append
	 */
	public NewRecord newRecord(LeaseRecord record) {
		return new NewRecord(record.id().value(), this.mapper.write(record));
	}

	/**
	 * Decodes a record.
	 * @param text the JSON text
	 * @return the record, or {@code null} if its kind is not supported or it is
	 * incomplete
	 */
	public @Nullable LeaseRecord decode(String text) {
		try {
			return this.mapper.read(text);
		}
		catch (UnreadableRecordException ex) {
			logger.warn("Skipping an unreadable record of the leases stream: {}", ex.toString());
			return null;
		}
	}

}
