package org.banyancove.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A whole request as a caller sent it.
 *
 * @param head its method, path and headers
 * @param body its body, on the heap
 * @param arrivedAt when its last byte was read, on the steady clock
 */
record CallerRequest(HttpRequest head, ByteBuf body, long arrivedAt) {
}
