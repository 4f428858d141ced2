package org.banyancove.core.profile;

/**
 * A change that was accepted or rejected recently, retained to recognize duplicates of
 * its record.
 *
 * @param offset the offset of the record's first copy
 * @param recordId the record's identifier
 * @param accepted whether the change was accepted
 */
public record DecidedChange(long offset, String recordId, boolean accepted) {

}
