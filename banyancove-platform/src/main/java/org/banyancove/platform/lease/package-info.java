/**
 * The stream of planner leases on the platform's log.
 */
@NullMarked
package org.banyancove.platform.lease;

import org.jspecify.annotations.NullMarked;
