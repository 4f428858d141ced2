/**
 * Detection and refusal of requests that crash the endpoints that run them.
 * <p>
 * All classes are free of I/O and run on the single thread of the tick loop.
 */
@NullMarked
package org.banyancove.core.suspect;

import org.jspecify.annotations.NullMarked;
