/**
 * Work that one gateway does for all: the lease that picks it, the usage report, the
 * endpoint orders.
 * <p>
 * Pure decisions; times are passed in.
 */
@NullMarked
package org.banyancove.gateway.duty;

import org.jspecify.annotations.NullMarked;
