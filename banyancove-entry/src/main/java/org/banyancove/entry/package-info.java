/**
 * The entry daemon: the program and the adapters around the entry core.
 */
@NullMarked
package org.banyancove.entry;

import org.jspecify.annotations.NullMarked;
