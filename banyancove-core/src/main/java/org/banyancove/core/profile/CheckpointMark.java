package org.banyancove.core.profile;

import java.time.Instant;

/**
 * The position of the stream's last checkpoint.
 *
 * @param offset its offset
 * @param appendedAt the platform's time of its append
 */
public record CheckpointMark(long offset, Instant appendedAt) {

}
