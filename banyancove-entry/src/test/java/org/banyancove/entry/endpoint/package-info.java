/**
 * Tests of the calls to endpoints.
 */
@NullMarked
package org.banyancove.entry.endpoint;

import org.jspecify.annotations.NullMarked;
