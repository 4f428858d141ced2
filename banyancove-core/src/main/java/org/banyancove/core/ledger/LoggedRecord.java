package org.banyancove.core.ledger;

import java.time.Instant;

/**
 * A record read from a stream.
 *
 * @param offset the record's offset
 * @param record the record
 * @param appendedAt the log time of the append
 */
public record LoggedRecord(long offset, LedgerRecord record, Instant appendedAt) {

}
