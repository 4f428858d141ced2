/**
 * Retry decisions and retry budgets for failed attempts.
 * <p>
 * All classes are free of I/O and run on the single thread of the tick loop.
 */
@NullMarked
package org.banyancove.core.retry;

import org.jspecify.annotations.NullMarked;
