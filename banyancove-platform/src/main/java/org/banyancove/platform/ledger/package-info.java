/**
 * The text format of the key ledger's records on the platform's log.
 */
@NullMarked
package org.banyancove.platform.ledger;

import org.jspecify.annotations.NullMarked;
