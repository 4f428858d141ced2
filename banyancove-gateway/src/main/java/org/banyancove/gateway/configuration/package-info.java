/**
 * What operators have configured: routes, services, client accounts and limits.
 * <p>
 * Immutable values without input or output; a new version replaces the whole.
 */
@NullMarked
package org.banyancove.gateway.configuration;

import org.jspecify.annotations.NullMarked;
