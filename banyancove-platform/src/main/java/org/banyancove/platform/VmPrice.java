package org.banyancove.platform;

import org.banyancove.core.MachineClass;
import org.banyancove.core.ZoneName;

/**
 * The price of a VM.
 *
 * @param zone the zone
 * @param machineClass the machine class
 * @param reclaimable whether the price applies to reclaimable VMs
 * @param perHour the price per hour, in the platform's currency
 */
public record VmPrice(ZoneName zone, MachineClass machineClass, boolean reclaimable, double perHour) {

}
