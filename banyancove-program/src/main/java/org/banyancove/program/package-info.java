/**
 * Shared support for all programs: command line, validated settings, logs and metrics.
 */
@NullMarked
package org.banyancove.program;

import org.jspecify.annotations.NullMarked;
