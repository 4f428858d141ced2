/**
 * Tests of the leases stream.
 */
@NullMarked
package org.banyancove.platform.lease;

import org.jspecify.annotations.NullMarked;
