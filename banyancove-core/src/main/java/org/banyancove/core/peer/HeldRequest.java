package org.banyancove.core.peer;

import java.time.Instant;

import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * All data that another entry requires to continue an accepted request.
 *
 * @param request the request's identifier
 * @param account the caller's account
 * @param service the requested service
 * @param kind whether a holder may run it again
 * @param profileOffset the offset of the profile under which it was accepted
 * @param method the HTTP method
 * @param path the path, with its query
 * @param body the request's body
 * @param idempotencyKey the key of a call that must not be repeated, or {@code null}
 * @param deadline the time after which the answer is useless
 */
public record HeldRequest(RequestId request, AccountName account, ServiceName service, CallKind kind,
		long profileOffset, String method, String path, Body body, @Nullable String idempotencyKey, Instant deadline) {

}
