/**
 * Admission control: admits, queues or refuses requests when endpoints are busy.
 * <p>
 * All classes are free of I/O and run on the single thread of the tick loop.
 */
@NullMarked
package org.banyancove.core.admission;

import org.jspecify.annotations.NullMarked;
