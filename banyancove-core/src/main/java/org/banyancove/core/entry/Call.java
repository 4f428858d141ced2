package org.banyancove.core.entry;

import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * A request as received from a caller.
 *
 * @param id the identifier that every answer carries
 * @param account the caller's account
 * @param service the service that is called
 * @param method the HTTP method, in upper case
 * @param path the path after the service's name, with its query
 * @param contentType the body's content type
 * @param body the body
 * @param idempotencyKey the caller's idempotency key, or {@code null}
 * @param prompt the prompt of a model request, or {@code null} for a plain call
 */
public record Call(RequestId id, AccountName account, ServiceName service, String method, String path,
		String contentType, Body body, @Nullable String idempotencyKey, @Nullable Prompt prompt) {

	/**
	 * Returns a digest that identifies the content of this call and is equal for a
	 * repeat.
	 * @return the digest in hexadecimal
	 */
	public String fingerprint() {
		return this.body.digest(this.account.value(), this.service.value(), this.method, this.path);
	}

}
