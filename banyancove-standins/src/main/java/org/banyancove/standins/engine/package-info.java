/**
 * Stand-in for a model engine: continuous batching, prefix cache, streams, orders.
 */
@NullMarked
package org.banyancove.standins.engine;

import org.jspecify.annotations.NullMarked;
