package org.banyancove.core.routing;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;

/**
 * An endpoint's entry in the platform's list.
 *
 * @param id the endpoint's identifier
 * @param vm the VM on which it runs
 * @param dataCenter the VM's data center
 * @param zone the VM's zone
 * @param machineClass the VM's machine class
 * @param service the service that it serves
 * @param address the socket address, as host and port
 * @param pricePerHour the VM's hourly price, not negative
 */
public record EndpointDefinition(EndpointId id, VmId vm, DataCenterName dataCenter, ZoneName zone,
		MachineClass machineClass, ServiceName service, String address, double pricePerHour) {

	/**
	 * Creates the definition.
	 * @throws IllegalArgumentException if the price is negative or not a number
	 */
	public EndpointDefinition {
		if (!(pricePerHour >= 0)) {
			throw new IllegalArgumentException("pricePerHour must not be negative: " + pricePerHour);
		}
	}

}
