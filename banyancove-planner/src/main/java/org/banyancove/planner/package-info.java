/**
 * The planner daemon: runs the core on an event loop, with adapters to the platform and
 * to engines.
 */
@NullMarked
package org.banyancove.planner;

import org.jspecify.annotations.NullMarked;
