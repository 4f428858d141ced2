/**
 * Admission control: whether a request is accepted, waits or is rejected, the timeouts of
 * a request, and the quotas of client accounts.
 * <p>
 * Decisions without input or output; callers pass in the time.
 */
@NullMarked
package org.banyancove.gateway.admission;

import org.jspecify.annotations.NullMarked;
