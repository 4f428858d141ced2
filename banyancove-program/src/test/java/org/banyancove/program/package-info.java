/**
 * Tests of the shared support for all programs.
 */
@NullMarked
package org.banyancove.program;

import org.jspecify.annotations.NullMarked;
