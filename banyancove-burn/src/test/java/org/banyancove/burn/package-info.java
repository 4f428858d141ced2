/**
 * Tests of the report on burn rates.
 */
@NullMarked
package org.banyancove.burn;

import org.jspecify.annotations.NullMarked;
