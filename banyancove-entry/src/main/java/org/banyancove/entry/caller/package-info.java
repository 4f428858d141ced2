/**
 * The adapter for callers: HTTP, JSON and server-sent events.
 */
@NullMarked
package org.banyancove.entry.caller;

import org.jspecify.annotations.NullMarked;
