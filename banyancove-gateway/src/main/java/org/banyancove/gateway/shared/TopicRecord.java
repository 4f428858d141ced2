package org.banyancove.gateway.shared;

import org.jspecify.annotations.Nullable;

/**
 * One record of a topic.
 *
 * @param offset its place in the topic
 * @param key its key
 * @param value its content, or {@code null} where the key was taken out
 */
@SuppressWarnings("ArrayRecordComponent")
public record TopicRecord(long offset, String key, byte @Nullable [] value) {
}
