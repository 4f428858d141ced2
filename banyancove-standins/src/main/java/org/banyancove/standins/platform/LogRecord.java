package org.banyancove.standins.platform;

import java.time.Instant;

/**
 * A record of the log, as returned to readers.
 *
 * @param offset the offset in the stream
 * @param id the identifier assigned by the writer
 * @param data the data
 * @param appendedAt the time of the append, in ISO 8601
 */
public record LogRecord(long offset, String id, String data, String appendedAt) {

	Instant appendedInstant() {
		return Instant.parse(this.appendedAt);
	}

}
