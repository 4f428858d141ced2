/**
 * Reading of HTTP/1.1 responses: heads and bodies that are no sound response, and
 * connections that did not end in order.
 * <p>
 * Confined to the event loop thread, unless stated otherwise.
 */
@NullMarked
package org.banyancove.http;

import org.jspecify.annotations.NullMarked;
