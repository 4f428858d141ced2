/**
 * Identifiers and checks used by all other packages of the core.
 */
@NullMarked
package org.banyancove.core;

import org.jspecify.annotations.NullMarked;
