package org.banyancove.gateway.exchange;

import org.banyancove.gateway.duty.DemandEstimator;
import org.banyancove.gateway.duty.UsageCounter;

/**
 * What is counted of requests, beside logs and metrics.
 *
 * @param usage the requests that began to run
 * @param work the engine time that requests need
 */
public record Meters(UsageCounter usage, DemandEstimator work) {
}
