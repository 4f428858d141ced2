package org.banyancove.core.suspect;

import java.util.Set;

import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;

/**
 * A lost endpoint and the requests that were running there.
 *
 * @param crash the endpoint and the time of the loss
 * @param vm its VM
 * @param zone the VM's zone
 * @param fingerprints the fingerprints of the requests that this entry was running there
 * @param includesSuspect whether one of them was already suspect, which explains the loss
 */
record Loss(Crash crash, VmId vm, ZoneName zone, Set<Fingerprint> fingerprints, boolean includesSuspect) {
}
