package org.banyancove.gateway.shared;

import org.jspecify.annotations.Nullable;

/**
 * A record of a topic.
 *
 * @param offset the offset in the topic
 * @param key the record key
 * @param value the record value, or {@code null} if the key was deleted
 */
@SuppressWarnings("ArrayRecordComponent")
public record TopicRecord(long offset, String key, byte @Nullable [] value) {
}
