/**
 * Decision logic of the entry daemon: a deterministic, single-threaded core that handles
 * events and issues commands, with all state in tables.
 */
@NullMarked
package org.banyancove.core.entry;

import org.jspecify.annotations.NullMarked;
