/**
 * The adapter for endpoints: model engines and plain services over HTTP.
 */
@NullMarked
package org.banyancove.entry.endpoint;

import org.jspecify.annotations.NullMarked;
