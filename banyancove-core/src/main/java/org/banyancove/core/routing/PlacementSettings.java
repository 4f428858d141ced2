package org.banyancove.core.routing;

/**
 * Settings of the cost-based placement.
 *
 * @param margin the share of the latency target that a prediction may use, above 0 and at
 * most 1
 * @param promptWeight the factor by which the cost of prompt computation is multiplied,
 * from 1 to 100; a higher weight reduces recomputed tokens at a slightly higher cost
 * under low load
 */
public record PlacementSettings(double margin, double promptWeight) {

	private static final double MAXIMUM_PROMPT_WEIGHT = 100;

	/** The settings with the lowest cost. */
	public static final PlacementSettings DEFAULT = new PlacementSettings(0.8, 1);

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if a value is out of its range
	 */
	public PlacementSettings {
		if (!(margin > 0 && margin <= 1)) {
			throw new IllegalArgumentException("margin must be above 0 and at most 1: " + margin);
		}
		if (!(promptWeight >= 1 && promptWeight <= MAXIMUM_PROMPT_WEIGHT)) {
			throw new IllegalArgumentException("promptWeight must be from 1 to 100: " + promptWeight);
		}
	}

}
