package org.banyancove.gateway.shared;

/**
 * A clock that never jumps; only differences of its readings mean anything.
 */
@FunctionalInterface
public interface SteadyClock {

	/**
	 * Returns the present reading.
	 * @return nanoseconds since some fixed moment
	 */
	long nanos();

}
