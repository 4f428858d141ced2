package org.banyancove.core.profile;

/**
 * The placement policies of a profile.
 */
public enum PlacementPolicyName {

	/** The cheapest endpoint predicted to meet the target, or else the earliest. */
	COST_AT_TARGET,

	/** The endpoints in turn. */
	ROUND_ROBIN,

	/** The endpoint with the fewest requests in flight. */
	LEAST_IN_FLIGHT,

	/** The less loaded of two endpoints drawn at random. */
	TWO_CHOICES

}
