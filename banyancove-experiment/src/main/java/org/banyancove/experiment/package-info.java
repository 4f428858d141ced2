/**
 * Measures the core's decisions on seeded workloads: simulated endpoints drive the same
 * placement, admission and retry code that the entry runs.
 */
@NullMarked
package org.banyancove.experiment;

import org.jspecify.annotations.NullMarked;
