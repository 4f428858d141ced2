/**
 * The configuration by operators: routes, services, client accounts and limits.
 * <p>
 * Immutable values without input or output; a new version replaces the entire
 * configuration.
 */
@NullMarked
package org.banyancove.gateway.configuration;

import org.jspecify.annotations.NullMarked;
