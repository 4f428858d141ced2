package org.banyancove.core.profile;

/**
 * The reason for the rejection of a change.
 */
public enum RejectionReason {

	/** The object no longer has the revision on which the change is based. */
	REVISION_MOVED,

	/** The service references a profile that is not published. */
	PROFILE_UNKNOWN,

	/** The service to retire is not published. */
	SERVICE_UNKNOWN

}
