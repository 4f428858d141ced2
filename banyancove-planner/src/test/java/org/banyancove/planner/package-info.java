/**
 * Tests of the planner program.
 */
@NullMarked
package org.banyancove.planner;

import org.jspecify.annotations.NullMarked;
