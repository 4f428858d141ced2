/**
 * Ownership of accepted requests, replication to holders, and handover between entries.
 */
@NullMarked
package org.banyancove.core.handover;

import org.jspecify.annotations.NullMarked;
