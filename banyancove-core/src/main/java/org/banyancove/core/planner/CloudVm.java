package org.banyancove.core.planner;

import org.banyancove.core.VmId;

/**
 * A VM as listed by the cloud.
 *
 * @param id the VM
 * @param token the client token with which it was started
 * @param kind its kind
 * @param leaving whether it is being reclaimed or stopped
 */
public record CloudVm(VmId id, ClientToken token, VmKind kind, boolean leaving) {

}
