/**
 * Tests of the JSON format of the profiles stream.
 */
@NullMarked
package org.banyancove.platform.profile;

import org.jspecify.annotations.NullMarked;
