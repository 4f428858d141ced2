/**
 * Error kinds with their answers, and the exception that reports them.
 */
@NullMarked
package org.banyancove.core.error;

import org.jspecify.annotations.NullMarked;
