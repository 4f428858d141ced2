package org.banyancove.platform;

import java.time.Instant;

import org.banyancove.core.VmId;

/**
 * The platform's notice that it will reclaim a VM.
 *
 * @param sequence the notice's sequence number
 * @param vm the VM
 * @param reclaimAt the time of the reclaim
 */
public record ReclaimNotice(long sequence, VmId vm, Instant reclaimAt) {

}
