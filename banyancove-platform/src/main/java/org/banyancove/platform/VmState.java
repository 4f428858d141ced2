package org.banyancove.platform;

/**
 * The state of a VM, as reported by the platform.
 */
public enum VmState {

	/** The VM is running. */
	LIVE,

	/** The VM is being reclaimed or stopped. */
	LEAVING,

	/** A state that this version does not support. */
	UNKNOWN

}
