/**
 * Which requests are accepted, wait or are rejected at once, and what may be retried.
 * <p>
 * Pure decisions; times are passed in.
 */
@NullMarked
package org.banyancove.gateway.admission;

import org.jspecify.annotations.NullMarked;
