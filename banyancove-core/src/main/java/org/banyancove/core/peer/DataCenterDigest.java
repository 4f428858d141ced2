package org.banyancove.core.peer;

import org.banyancove.core.DataCenterName;

/**
 * A digest of the states of a data center's living peers at one process.
 *
 * @param dataCenter the data center
 * @param digest the digest
 */
public record DataCenterDigest(DataCenterName dataCenter, long digest) {

}
