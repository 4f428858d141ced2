package org.banyancove.platform;

/**
 * The kind of process that a VM runs, from the platform's list.
 */
public enum VmRole {

	/** An entry process of this system. */
	ENTRY,

	/** A model engine. */
	ENGINE,

	/** A plain service. */
	SERVICE,

	/** A role that this version does not support. */
	UNKNOWN

}
