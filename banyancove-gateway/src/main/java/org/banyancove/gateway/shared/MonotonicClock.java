package org.banyancove.gateway.shared;

/**
 * A monotonic clock. Only differences between its readings are meaningful.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * Returns the current reading.
	 * @return the time since an arbitrary origin, in ns
	 */
	long nanos();

}
