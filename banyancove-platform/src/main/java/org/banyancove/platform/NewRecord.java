package org.banyancove.platform;

/**
 * A record to append to a stream of the log.
 *
 * @param id the record's identifier, by which its appender finds it after a lost response
 * and readers detect duplicates
 * @param data the record's text
 */
public record NewRecord(String id, String data) {

}
