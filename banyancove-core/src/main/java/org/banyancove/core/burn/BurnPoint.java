package org.banyancove.core.burn;

import java.time.Instant;

/**
 * The burn rate over a window that ended at a given time.
 *
 * @param at the window's end
 * @param rate the burn rate
 */
public record BurnPoint(Instant at, double rate) {

}
