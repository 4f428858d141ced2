/**
 * Tests of the HTTP server for callers.
 */
@NullMarked
package org.banyancove.entry.caller;

import org.jspecify.annotations.NullMarked;
