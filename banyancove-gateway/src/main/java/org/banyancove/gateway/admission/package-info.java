/**
 * Who is let in, who waits, who is rejected at once, and what may be sent again.
 * <p>
 * Pure decisions; times are passed in.
 */
@NullMarked
package org.banyancove.gateway.admission;

import org.jspecify.annotations.NullMarked;
