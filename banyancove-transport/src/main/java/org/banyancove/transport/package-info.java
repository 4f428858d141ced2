/**
 * Connections between entry processes: Netty with protobuf.
 */
@NullMarked
package org.banyancove.transport;

import org.jspecify.annotations.NullMarked;
