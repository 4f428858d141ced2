/**
 * Command-line program for operators: publishes, changes, lists, shows and retires
 * profiles and services, and prints the status of an entry.
 */
@NullMarked
package org.banyancove.operate;

import org.jspecify.annotations.NullMarked;
