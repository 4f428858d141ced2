package org.banyancove.core.ledger;

import java.time.Instant;

import org.banyancove.core.RequestId;

/**
 * A request for a call that may run at most once.
 *
 * @param request the request's identifier
 * @param key the call's key
 * @param digest the digest of the call's body
 * @param deadline the time by which the caller receives an answer
 */
public record ClaimRequest(RequestId request, CallKey key, BodyDigest digest, Instant deadline) {

}
