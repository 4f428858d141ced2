package org.banyancove.core.planner;

import org.banyancove.core.MachineClass;
import org.banyancove.core.ZoneName;

/**
 * The attributes that distinguish the VMs offered by the cloud.
 *
 * @param zone the zone
 * @param machineClass the machine class
 * @param reclaimable whether the platform may reclaim the VM on short notice
 */
public record VmKind(ZoneName zone, MachineClass machineClass, boolean reclaimable) {

}
