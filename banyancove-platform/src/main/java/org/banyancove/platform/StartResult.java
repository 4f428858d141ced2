package org.banyancove.platform;

import java.time.Duration;

import org.banyancove.core.VmId;

/**
 * The known outcome of a request to start a VM.
 */
public sealed interface StartResult {

	/**
	 * The platform accepted the request.
	 *
	 * @param vm the VM
	 */
	record Started(VmId vm) implements StartResult {

	}

	/**
	 * The platform rejected the request.
	 *
	 * @param retryAfter the time after which to retry
	 * @param reason a description of the response, for the log
	 */
	record Refused(Duration retryAfter, String reason) implements StartResult {

	}

	/**
	 * The outcome is unknown; the VM may have been started. Listing VMs by token
	 * determines it, and a retry with the same token is safe.
	 *
	 * @param reason the reason why the call failed, for the log
	 */
	record Unanswered(String reason) implements StartResult {

	}

}
