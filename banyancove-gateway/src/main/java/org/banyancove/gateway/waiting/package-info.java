/**
 * Waiting at the gateway: whether a request is sent, waits or is rejected, and the order
 * in which waiting requests are sent.
 * <p>
 * Prompts may arrive faster than engines prefill them, for seconds. A backlog at an
 * engine cannot be reordered or taken back; one at the gateway can.
 * <p>
 * Decides without input or output; callers pass in the time.
 */
@NullMarked
package org.banyancove.gateway.waiting;

import org.jspecify.annotations.NullMarked;
