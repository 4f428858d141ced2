/**
 * Load generator for loopback that compares an entry with direct calls of a stand-in.
 */
@NullMarked
package org.banyancove.standins.load;

import org.jspecify.annotations.NullMarked;
