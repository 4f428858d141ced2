/**
 * Streaming of answers: reassembly of pieces, retention for reconnecting callers, and
 * migration between endpoints.
 */
@NullMarked
package org.banyancove.core.stream;

import org.jspecify.annotations.NullMarked;
