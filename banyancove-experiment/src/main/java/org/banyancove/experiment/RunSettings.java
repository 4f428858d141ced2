package org.banyancove.experiment;

import org.banyancove.core.profile.PlacementPolicyName;

/**
 * The settings of one run.
 *
 * @param user the user model
 * @param scenario the load and the faults
 * @param policy the placement policy
 * @param entries the number of entries that share the endpoints
 * @param seed the seed of the workload and the faults
 * @param seconds the simulated time
 * @param limits whether admission limits and account shares apply; without them every
 * request is placed at once
 */
record RunSettings(UserModel user, Scenario scenario, PlacementPolicyName policy, int entries, long seed,
		double seconds, boolean limits) {
}
