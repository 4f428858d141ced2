/**
 * The endpoints that are known, what each is doing, and which of them a request goes to.
 * <p>
 * Pure decisions over tables; the event loop's thread owns them.
 */
@NullMarked
package org.banyancove.gateway.endpoint;

import org.jspecify.annotations.NullMarked;
