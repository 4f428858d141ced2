package org.banyancove.platform;

import java.time.Instant;

import org.banyancove.core.MachineClass;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;

/**
 * A VM started through the cloud API.
 *
 * @param id the VM
 * @param clientToken the client token of its start request
 * @param zone its zone
 * @param machineClass its machine class
 * @param reclaimable whether the platform may reclaim it at short notice
 * @param state its state
 * @param startedAt the time of its start
 */
public record CloudVm(VmId id, String clientToken, ZoneName zone, MachineClass machineClass, boolean reclaimable,
		VmState state, Instant startedAt) {

}
