package org.banyancove.core.profile;

import java.time.Instant;

import org.jspecify.annotations.Nullable;

/**
 * A record of the profiles stream with its offset.
 *
 * @param offset the offset
 * @param appendedAt the platform's time of the append
 * @param record the record, or {@code null} for a kind that this version does not support
 */
public record ProfileEntry(long offset, Instant appendedAt, @Nullable ProfileRecord record) {

}
