/**
 * Stand-in for a plain service, which counts its runs.
 */
@NullMarked
package org.banyancove.standins.service;

import org.jspecify.annotations.NullMarked;
