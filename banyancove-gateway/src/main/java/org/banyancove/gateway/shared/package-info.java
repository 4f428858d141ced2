/**
 * The ports to the platform: topics, the calls of the lease holder, and header and record
 * codecs.
 * <p>
 * An adapter implements them; nothing in this package depends on the formats of the
 * platform.
 */
@NullMarked
package org.banyancove.gateway.shared;

import org.jspecify.annotations.NullMarked;
