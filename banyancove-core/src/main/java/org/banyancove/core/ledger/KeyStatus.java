package org.banyancove.core.ledger;

import java.time.Instant;

/**
 * The status of a claimed key according to the log: its full state, or the compact form
 * that is kept for the rest of the key window after the call's answer has expired.
 */
public sealed interface KeyStatus permits KeyState, EndedKey {

	/**
	 * Returns whether the call has ended, after which records of its claimant have no
	 * effect.
	 * @return {@code true} if the call has ended
	 */
	boolean ended();

	/**
	 * Returns whether the key window has ended.
	 * @param logTime the time of the newest record read
	 * @return {@code true} if the key has expired
	 */
	boolean expired(Instant logTime);

	/**
	 * Returns whether the winning intent is for the same body.
	 * @param digest the digest of another call under the key
	 * @return {@code true} if the bodies match
	 */
	boolean matches(BodyDigest digest);

}
