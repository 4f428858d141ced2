/**
 * Endpoints, their observed state, and the placement of requests on them.
 * <p>
 * All classes are free of I/O and run on the single thread of the tick loop.
 */
@NullMarked
package org.banyancove.core.routing;

import org.jspecify.annotations.NullMarked;
