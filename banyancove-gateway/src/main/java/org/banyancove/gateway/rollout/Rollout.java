package org.banyancove.gateway.rollout;

import java.time.Instant;

/**
 * The state of a rollout as decided by the lease holder.
 *
 * @param order the order
 * @param baseline the version that served before the order; empty if there was none
 * @param orderedAt the wall-clock time at which the order was first read
 * @param revision increases with each decision, also across lease holders; a gateway that
 * observes no increase has lost contact with the holder
 * @param stage the current stage
 */
public record Rollout(RolloutOrder order, String baseline, Instant orderedAt, long revision, RolloutStage stage) {

	/**
	 * Returns this rollout with a new decision.
	 * @param newRevision the revision of the decision
	 * @param newStage the decided stage
	 * @return the updated state
	 */
	public Rollout withDecision(long newRevision, RolloutStage newStage) {
		return new Rollout(this.order, this.baseline, this.orderedAt, newRevision, newStage);
	}

	/**
	 * Returns whether this state supersedes another one of the same service. An ended
	 * rollout never resumes: a partitioned holder may still report it as in progress.
	 * @param other the other state
	 * @return {@code true} if this state is newer
	 */
	public boolean isNewerThan(Rollout other) {
		if (this.order.offset() != other.order.offset()) {
			return this.order.offset() > other.order.offset();
		}
		if (this.stage.isTerminal() != other.stage.isTerminal()) {
			return this.stage.isTerminal();
		}
		return this.revision > other.revision;
	}

	/**
	 * Returns the newer of this state and another one of the same service.
	 * @param other the other state
	 * @return the other state if it is newer, this one otherwise
	 */
	public Rollout newerOf(Rollout other) {
		return other.isNewerThan(this) ? other : this;
	}

	/**
	 * Returns the state that a successor of the lease holder adopts; it recomputes the
	 * weights.
	 * @return the state without weights
	 */
	public Rollout withoutWeights() {
		return this.stage.isTerminal() ? this : withDecision(0, RolloutStage.InProgress.NO_TRAFFIC);
	}

}
