package org.banyancove.standins.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The state of a VM.
 */
public enum VmState {

	/**
	 * The VM is running, without a reclaim notice.
	 */
	@JsonProperty("live")
	LIVE,

	/**
	 * The VM has received its reclaim notice and will be reclaimed or stopped.
	 */
	@JsonProperty("leaving")
	LEAVING

}
