package org.banyancove.core.entry;

/**
 * Identifies the open connection of a caller that waits for an answer at this entry.
 *
 * @param value the number, unique within the process
 */
public record SubscriberId(long value) {

}
