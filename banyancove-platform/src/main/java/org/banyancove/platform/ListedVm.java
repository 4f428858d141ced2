package org.banyancove.platform;

import java.time.Instant;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.jspecify.annotations.Nullable;

/**
 * A VM in the platform's list of VMs.
 *
 * @param id the VM
 * @param dataCenter its data center
 * @param zone its zone
 * @param machineClass its machine class
 * @param role the kind of process it runs
 * @param service the service it belongs to, or {@code null} for an entry
 * @param address its host and port, or {@code null} while it has none
 * @param state its state
 * @param reclaimAt the announced time of its reclaim, or {@code null} if none is
 * announced
 */
public record ListedVm(VmId id, DataCenterName dataCenter, ZoneName zone, MachineClass machineClass, VmRole role,
		@Nullable ServiceName service, @Nullable String address, VmState state, @Nullable Instant reclaimAt) {

}
