package org.banyancove.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.banyancove.core.Body;

/**
 * A whole response.
 *
 * @param status the status
 * @param headers the headers
 * @param body the body
 */
public record WholeResponse(int status, HttpHeaders headers, Body body) {
}
