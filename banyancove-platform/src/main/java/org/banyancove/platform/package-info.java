/**
 * Clients of the platform: its log, its list of VMs, its notices, its cloud API and its
 * weight store.
 */
@NullMarked
package org.banyancove.platform;

import org.jspecify.annotations.NullMarked;
