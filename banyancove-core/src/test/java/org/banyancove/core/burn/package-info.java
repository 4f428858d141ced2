/**
 * Tests of the computation of burn rates.
 */
@NullMarked
package org.banyancove.core.burn;

import org.jspecify.annotations.NullMarked;
