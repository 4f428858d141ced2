package org.banyancove.program;

import org.banyancove.core.error.ErrorKind;

/**
 * The exit codes of all programs.
 */
public enum ExitCode {

	/** The program completed successfully. */
	SUCCESS(0),

	/** A failure without a specific exit code. */
	FAILURE(1),

	/** The command line or the settings are invalid. */
	USAGE(2),

	/** An address to listen on is in use. */
	ADDRESS_IN_USE(3),

	/** The platform is unreachable. */
	PLATFORM_UNREACHABLE(4),

	/** A change was based on a revision that is no longer the latest. */
	REVISION_CONFLICT(5);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the exit code of the process.
	 * @return the code
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Returns the exit code for a kind of error.
	 * @param kind the kind of error
	 * @return the exit code
	 */
	public static ExitCode of(ErrorKind kind) {
		return switch (kind) {
			case SETTINGS_INVALID, PROFILE_INVALID -> USAGE;
			case ADDRESS_IN_USE -> ADDRESS_IN_USE;
			case PLATFORM_UNREACHABLE, LOG_UNREACHABLE -> PLATFORM_UNREACHABLE;
			case REVISION_CONFLICT -> REVISION_CONFLICT;
			default -> FAILURE;
		};
	}

}
