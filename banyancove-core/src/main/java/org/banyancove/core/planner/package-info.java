/**
 * The planner of a data center: its lease, the capacity plan, and the starts, stops and
 * orders that bring VMs and engines to the desired state.
 */
@NullMarked
package org.banyancove.core.planner;

import org.jspecify.annotations.NullMarked;
