/**
 * Stand-in for the platform: log, VM list, notices, cloud API and weight store.
 */
@NullMarked
package org.banyancove.standins.platform;

import org.jspecify.annotations.NullMarked;
