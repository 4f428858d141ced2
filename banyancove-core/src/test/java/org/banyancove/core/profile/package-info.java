/**
 * Tests of the profile table and its views, with a randomised simulation.
 */
@NullMarked
package org.banyancove.core.profile;

import org.jspecify.annotations.NullMarked;
