/**
 * Computation of burn rates, at which the error budgets of profiles are spent.
 */
@NullMarked
package org.banyancove.core.burn;

import org.jspecify.annotations.NullMarked;
