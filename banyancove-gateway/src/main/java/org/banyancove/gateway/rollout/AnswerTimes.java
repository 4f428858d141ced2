package org.banyancove.gateway.rollout;

/**
 * Measured times of an answer.
 *
 * @param relativeTimeToFirstEvent the time to the answer, or to the first event of a
 * stream, as a multiple of the time expected for the prompt
 * @param eventIntervalMillis the time between the events of a stream, in ms; 0 for other
 * answers
 */
public record AnswerTimes(double relativeTimeToFirstEvent, double eventIntervalMillis) {
}
