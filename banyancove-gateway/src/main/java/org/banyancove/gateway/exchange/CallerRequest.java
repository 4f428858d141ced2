package org.banyancove.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A complete request received from a caller.
 *
 * @param head the method, URI and headers
 * @param body the body, in a heap buffer
 * @param arrivedAt the monotonic time at which the last byte was read, in ns
 */
record CallerRequest(HttpRequest head, ByteBuf body, long arrivedAt) {
}
