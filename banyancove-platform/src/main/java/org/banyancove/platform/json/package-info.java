/**
 * The JSON format of the core's records, shared by records on the log and recorded
 * traces.
 */
@NullMarked
package org.banyancove.platform.json;

import org.jspecify.annotations.NullMarked;
