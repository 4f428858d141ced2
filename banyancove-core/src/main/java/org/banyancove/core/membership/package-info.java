/**
 * Group membership of the entry processes and detection of failed and leaving ones. The
 * membership list may be wrong: no guarantee to a caller depends on its accuracy.
 */
@NullMarked
package org.banyancove.core.membership;

import org.jspecify.annotations.NullMarked;
