package org.banyancove.core.entry;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.ZoneName;

/**
 * The process, location and address of an entry.
 *
 * @param incarnation the incarnation of the process
 * @param dataCenter the data center
 * @param zone the zone
 * @param peerAddress the address at which other entries reach this one
 */
public record EntryIdentity(Incarnation incarnation, DataCenterName dataCenter, ZoneName zone, String peerAddress) {

}
