package org.banyancove.gateway.rollout;

import java.time.Instant;

/**
 * The state of a rollout, as the holder of the lease decided it.
 *
 * @param order the order
 * @param baseline the version that served before; empty if there was none
 * @param orderedAt when the order was first read, by the time of day
 * @param revision grows with each decision, also from one holder to the next; a gateway
 * that sees it stand still has lost the holder
 * @param stage how far it is
 */
public record Rollout(RolloutOrder order, String baseline, Instant orderedAt, long revision, RolloutStage stage) {

	/**
	 * Returns the state after a decision.
	 * @param newRevision its revision
	 * @param newStage its stage
	 * @return the state
	 */
	public Rollout with(long newRevision, RolloutStage newStage) {
		return new Rollout(this.order, this.baseline, this.orderedAt, newRevision, newStage);
	}

	/**
	 * Returns whether this state replaces another one of the same service. An ended
	 * rollout does not go on: a holder that was cut off may still report it as in
	 * progress.
	 * @param other the other state
	 * @return whether this one is newer
	 */
	public boolean newerThan(Rollout other) {
		if (this.order.offset() != other.order.offset()) {
			return this.order.offset() > other.order.offset();
		}
		if (this.stage.settled() != other.stage.settled()) {
			return this.stage.settled();
		}
		return this.revision > other.revision;
	}

	/**
	 * Returns the newer of this state and another one of the same service.
	 * @param other the other state
	 * @return the other state if it is newer, this one otherwise
	 */
	public Rollout newerOf(Rollout other) {
		return other.newerThan(this) ? other : this;
	}

	/**
	 * Returns the part that outlives the holder: weights are decided anew.
	 * @return the state without its weights
	 */
	public Rollout durable() {
		return this.stage.settled() ? this : with(0, RolloutStage.InProgress.NO_TRAFFIC);
	}

}
