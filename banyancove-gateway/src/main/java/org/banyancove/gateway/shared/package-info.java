/**
 * The ports to the platform: shared topics, duties and the words of headers.
 * <p>
 * An adapter implements them; nothing here names the platform's formats.
 */
@NullMarked
package org.banyancove.gateway.shared;

import org.jspecify.annotations.NullMarked;
