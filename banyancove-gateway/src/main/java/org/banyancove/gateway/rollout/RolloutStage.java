package org.banyancove.gateway.rollout;

/**
 * The stage of a rollout.
 */
public sealed interface RolloutStage {

	/**
	 * Returns whether this stage is terminal.
	 * @return {@code true} if the rollout has ended
	 */
	default boolean isTerminal() {
		return !(this instanceof InProgress);
	}

	/**
	 * The candidate serves a fraction of the requests.
	 *
	 * @param weight the fraction of all requests, from 0 to 1
	 * @param streamWeight the fraction of the streams that cannot be resumed, from 0 to
	 * 1: those that still run on the baseline are lost when it stops
	 */
	record InProgress(double weight, double streamWeight) implements RolloutStage {

		/** The candidate serves no requests. */
		public static final InProgress NO_TRAFFIC = new InProgress(0, 0);

		/**
		 * Creates a stage in progress.
		 * @param weight the fraction of all requests
		 * @param streamWeight the fraction of the streams that cannot be resumed
		 * @throws IllegalArgumentException if a weight is not from 0 to 1
		 */
		public InProgress {
			requireFraction("weight", weight);
			requireFraction("streamWeight", streamWeight);
		}

		private static void requireFraction(String name, double value) {
			if (!(value >= 0 && value <= 1)) {
				throw new IllegalArgumentException(name + " must be from 0 to 1: " + value);
			}
		}

	}

	/** The candidate serves all requests. */
	record Completed() implements RolloutStage {
	}

	/** The baseline serves all requests again. */
	record RolledBack() implements RolloutStage {
	}

}
