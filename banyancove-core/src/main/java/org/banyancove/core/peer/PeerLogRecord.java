package org.banyancove.core.peer;

/**
 * A record of the platform's log, forwarded by a peer.
 *
 * @param offset the record's offset in its stream
 * @param id the identifier assigned by its writer
 * @param data the record's text
 */
public record PeerLogRecord(long offset, String id, String data) {

}
