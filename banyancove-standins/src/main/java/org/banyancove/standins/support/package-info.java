/**
 * Infrastructure of the stand-ins: HTTP server, fault switches, run counts, rate limiter.
 */
@NullMarked
package org.banyancove.standins.support;

import org.jspecify.annotations.NullMarked;
