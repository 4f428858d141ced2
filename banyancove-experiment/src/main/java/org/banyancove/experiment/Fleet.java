package org.banyancove.experiment;

import java.util.List;

import org.banyancove.core.routing.EndpointDefinition;

/**
 * The endpoints of a user.
 *
 * @param engines the model engines
 * @param services the plain services
 * @param reclaimedZone the zone whose VMs the reclaim wave reclaims
 */
record Fleet(List<Engine> engines, List<Service> services, String reclaimedZone) {

	/**
	 * A model engine.
	 *
	 * @param definition its definition in the platform's list
	 * @param speed its speed and capacity
	 */
	record Engine(EndpointDefinition definition, EngineSpeed speed) {
	}

	/**
	 * A plain service.
	 *
	 * @param definition its definition in the platform's list
	 * @param workers the maximum number of concurrent calls
	 * @param speed its relative speed, 1 for the nominal service time
	 */
	record Service(EndpointDefinition definition, int workers, double speed) {
	}

}
