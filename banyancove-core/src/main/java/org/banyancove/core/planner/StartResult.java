package org.banyancove.core.planner;

import java.time.Duration;

import org.banyancove.core.VmId;

/**
 * The result of a call that starts a VM.
 */
public sealed interface StartResult {

	/**
	 * The VM was started by this call or by an earlier one with the same token.
	 *
	 * @param vm the VM
	 */
	record Started(VmId vm) implements StartResult {

	}

	/**
	 * The cloud has no VM available. Only for answers that exclude a started VM.
	 *
	 * @param retryAfter the delay before a retry
	 */
	record Refused(Duration retryAfter) implements StartResult {

	}

	/**
	 * The VM may have been started.
	 */
	record Unanswered() implements StartResult {

	}

}
