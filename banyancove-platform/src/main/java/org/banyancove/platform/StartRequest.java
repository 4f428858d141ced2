package org.banyancove.platform;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ServiceName;
import org.banyancove.core.ZoneName;

/**
 * A request to the cloud API to start one VM.
 *
 * @param clientToken the idempotency token: a retry with the same token returns the same
 * VM, so that a retry after a lost response starts no second VM
 * @param dataCenter the data center
 * @param zone the zone of the data center
 * @param machineClass the machine class
 * @param reclaimable whether the platform may reclaim the VM at short notice
 * @param service the service that the VM runs
 */
public record StartRequest(String clientToken, DataCenterName dataCenter, ZoneName zone, MachineClass machineClass,
		boolean reclaimable, ServiceName service) {

}
