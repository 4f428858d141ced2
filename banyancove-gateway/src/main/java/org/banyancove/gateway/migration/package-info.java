/**
 * Moving streams off endpoints that are reclaimed: which streams are moved, when, and
 * what follows from each answer.
 * <p>
 * Decides without input or output.
 */
@NullMarked
package org.banyancove.gateway.migration;

import org.jspecify.annotations.NullMarked;
