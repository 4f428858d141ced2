package org.banyancove.core.admission;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

import org.banyancove.core.AccountName;

/**
 * The running and waiting requests of an account at a service.
 */
final class AccountQueue implements Comparable<AccountQueue> {

	private final AccountName account;

	private static final double MEAN_WEIGHT = 0.1;

	private final Deque<WaitingRequest> waiting = new ArrayDeque<>(2);

	private int running;

	private double startTag;

	private double secondsPerPosition;

	AccountQueue(AccountName account) {
		this.account = account;
	}

	AccountName account() {
		return this.account;
	}

	Deque<WaitingRequest> waiting() {
		return this.waiting;
	}

	int running() {
		return this.running;
	}

	double startTag() {
		return this.startTag;
	}

	boolean isIdle() {
		return this.running == 0 && this.waiting.isEmpty();
	}

	/**
	 * Advances the start tag of an account that begins to wait to the service's virtual
	 * time, so that an idle account does not accumulate unused capacity.
	 * @param virtualTime the service's virtual time
	 */
	void advanceTo(double virtualTime) {
		this.startTag = Math.max(this.startTag, virtualTime);
	}

	void admit(AdmissionRequest request) {
		this.running++;
		this.startTag += request.cost() / request.weight();
	}

	void release() {
		this.running--;
	}

	/**
	 * Records the wait of an admitted request.
	 * @param seconds the duration of the wait in seconds
	 * @param position the request's position in the account's queue on arrival, from 1
	 */
	void observeWait(double seconds, int position) {
		double perPosition = seconds / position;
		this.secondsPerPosition = ((this.secondsPerPosition == 0) ? perPosition
				: this.secondsPerPosition + MEAN_WEIGHT * (perPosition - this.secondsPerPosition));
	}

	/**
	 * Returns the moving average of the wait for each position in the account's queue.
	 * @return the average in seconds, 0 without observations
	 */
	double secondsPerPosition() {
		return this.secondsPerPosition;
	}

	@Override
	public int compareTo(AccountQueue other) {
		int byStartTag = Double.compare(this.startTag, other.startTag);
		return ((byStartTag != 0) ? byStartTag : this.account.compareTo(other.account));
	}

	/**
	 * A waiting request.
	 *
	 * @param request the request
	 * @param arrivedAt the time of arrival
	 * @param position the position in the account's queue on arrival, from 1
	 */
	record WaitingRequest(AdmissionRequest request, Instant arrivedAt, int position) {
	}

}
