package org.banyancove.core.membership;

import org.banyancove.core.VmId;
import org.jspecify.annotations.Nullable;

/**
 * The address of a possible peer, from the settings or from the platform's list.
 *
 * @param address the peer's address in the form {@code host:port}
 * @param vm the VM, or {@code null} if the settings name only the address
 * @param leaving whether the platform's list reports the VM as leaving
 */
public record PeerSeed(String address, @Nullable VmId vm, boolean leaving) {

}
