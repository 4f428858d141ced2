/**
 * The key ledger, which ensures that a non-repeatable call runs at most once: the state
 * derived from the log's slot streams, and the system that claims keys on them.
 */
@NullMarked
package org.banyancove.core.ledger;

import org.jspecify.annotations.NullMarked;
