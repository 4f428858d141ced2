/**
 * Reassembly of a request's answer from the pieces of its attempts.
 */
@NullMarked
package org.banyancove.core.answer;

import org.jspecify.annotations.NullMarked;
