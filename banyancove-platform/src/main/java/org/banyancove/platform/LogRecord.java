package org.banyancove.platform;

import java.time.Instant;

/**
 * A record in a stream of the log.
 *
 * @param offset the offset in the stream
 * @param id the identifier assigned by its appender
 * @param data the record's text
 * @param appendedAt the platform's time of the append
 */
public record LogRecord(long offset, String id, String data, Instant appendedAt) {

}
