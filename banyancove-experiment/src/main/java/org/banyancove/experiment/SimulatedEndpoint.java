package org.banyancove.experiment;

import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.LoadReport;

/**
 * A simulated endpoint.
 */
sealed interface SimulatedEndpoint permits SimulatedEngine, SimulatedService {

	/**
	 * Returns the endpoint's definition in the platform's list.
	 * @return the definition
	 */
	EndpointDefinition definition();

	/**
	 * Submits an attempt.
	 * @param job the attempt
	 */
	void submit(Job job);

	/**
	 * Cancels an attempt.
	 * @param job the attempt
	 * @return the number of tokens generated so far
	 */
	int cancel(Job job);

	/**
	 * Kills the process with all its attempts.
	 */
	void kill();

	/**
	 * Restarts the process with an empty cache.
	 */
	void restart();

	/**
	 * Returns the current load.
	 * @return the report
	 */
	LoadReport report();

	/**
	 * Returns the endpoint's busy time.
	 * @return the time in seconds
	 */
	double busySeconds();

}
