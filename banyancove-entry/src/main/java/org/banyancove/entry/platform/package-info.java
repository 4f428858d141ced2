/**
 * The adapter for the platform: its log, its list of VMs and its reclaim notices.
 */
@NullMarked
package org.banyancove.entry.platform;

import org.jspecify.annotations.NullMarked;
