package org.banyancove.core.handover;

/**
 * Counters of holding and handover, for metrics. Confined to the tick thread.
 */
public final class HandoverCounters {

	private long acceptedWithHolder;

	private long acceptedWithoutHolder;

	private long takenOver;

	private long handedOver;

	private long received;

	private long lost;

	private long holderReplacements;

	HandoverCounters() {
	}

	/**
	 * Returns the number of requests accepted with a holder.
	 * @return the number of requests
	 */
	public long acceptedWithHolder() {
		return this.acceptedWithHolder;
	}

	/**
	 * Returns the number of requests accepted without a holder.
	 * @return the number of requests
	 */
	public long acceptedWithoutHolder() {
		return this.acceptedWithoutHolder;
	}

	/**
	 * Returns the number of requests taken over from owners that failed without a
	 * handover.
	 * @return the number of requests
	 */
	public long takenOver() {
		return this.takenOver;
	}

	/**
	 * Returns the number of requests handed over to peers.
	 * @return the number of requests
	 */
	public long handedOver() {
		return this.handedOver;
	}

	/**
	 * Returns the number of requests received from peers by handover.
	 * @return the number of requests
	 */
	public long received() {
		return this.received;
	}

	/**
	 * Returns the number of requests given up due to a higher ownership number of a peer.
	 * @return the number of requests
	 */
	public long lost() {
		return this.lost;
	}

	/**
	 * Returns the number of holder replacements.
	 * @return the number of replacements
	 */
	public long holderReplacements() {
		return this.holderReplacements;
	}

	void countAccepted(boolean alone) {
		if (alone) {
			this.acceptedWithoutHolder++;
		}
		else {
			this.acceptedWithHolder++;
		}
	}

	void countTakenOver() {
		this.takenOver++;
	}

	void countHandedOver() {
		this.handedOver++;
	}

	void countReceived() {
		this.received++;
	}

	void countLost() {
		this.lost++;
	}

	void countHolderReplaced() {
		this.holderReplacements++;
	}

}
