package org.banyancove.core.planner;

import org.banyancove.core.MachineClass;
import org.banyancove.core.ZoneName;

/**
 * A kind of VM offered by the cloud.
 *
 * @param zone the zone
 * @param machineClass the machine class
 * @param reclaimable whether the platform may reclaim the VM on short notice
 * @param pricePerHour the price per hour, above 0
 * @param capacity the capacity of one VM, in the unit of the target, above 0
 */
public record Offer(ZoneName zone, MachineClass machineClass, boolean reclaimable, double pricePerHour,
		double capacity) {

	/**
	 * Creates the offer.
	 * @throws IllegalArgumentException if the price or the capacity is not positive
	 */
	public Offer {
		if (!(pricePerHour > 0) || !(capacity > 0)) {
			throw new IllegalArgumentException(
					"pricePerHour and capacity must be positive: " + pricePerHour + ", " + capacity);
		}
	}

	/**
	 * Returns the price per hour of one unit of capacity.
	 * @return the price
	 */
	public double unitPrice() {
		return this.pricePerHour / this.capacity;
	}

	/**
	 * Returns the kind, which does not depend on the price.
	 * @return the kind
	 */
	public VmKind kind() {
		return new VmKind(this.zone, this.machineClass, this.reclaimable);
	}

}
