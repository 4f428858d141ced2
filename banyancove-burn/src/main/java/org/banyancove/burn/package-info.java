/**
 * Reports the burn rates of service-level objectives.
 */
@NullMarked
package org.banyancove.burn;

import org.jspecify.annotations.NullMarked;
