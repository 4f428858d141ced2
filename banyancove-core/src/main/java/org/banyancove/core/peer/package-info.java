/**
 * Messages between entry processes.
 */
@NullMarked
package org.banyancove.core.peer;

import org.jspecify.annotations.NullMarked;
