/**
 * Tests of the command-line program for operators.
 */
@NullMarked
package org.banyancove.operate;

import org.jspecify.annotations.NullMarked;
