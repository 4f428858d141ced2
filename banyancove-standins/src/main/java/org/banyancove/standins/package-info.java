/**
 * Command line program that runs the stand-ins and the load generator as processes, for
 * tests only.
 */
@NullMarked
package org.banyancove.standins;

import org.jspecify.annotations.NullMarked;
