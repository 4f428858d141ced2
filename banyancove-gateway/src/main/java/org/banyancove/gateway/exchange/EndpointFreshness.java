package org.banyancove.gateway.exchange;

/**
 * How recent the known endpoints are.
 */
public interface EndpointFreshness {

	/**
	 * Returns whether the endpoints are recent enough to send them requests.
	 * @return whether changes that must be in force are known
	 */
	boolean current();

	/**
	 * Returns whether the endpoints were confirmed since a time. Begins to read them from
	 * the store if they were not.
	 * @param time the time, in nanoseconds of the monotonic clock
	 * @return whether all changes before that time are known
	 */
	boolean confirmedSince(long time);

	/**
	 * Returns whether the store fails, so that there is no newer state to wait for.
	 * @return whether several reads in a row have failed since the endpoints were
	 * confirmed
	 */
	boolean storeFailing();

}
