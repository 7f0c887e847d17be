package org.sequoiahub.core.config;

import java.util.List;
import org.sequoiahub.core.record.RecordProblem;

/** Result of offering a record to {@link AcceptedRecords}. */
public sealed interface OfferResult {

  /** The record was accepted and is now in force. */
  record Accepted() implements OfferResult {}

  /** The same or a newer revision is already in force; nothing was changed. */
  record NotNewer() implements OfferResult {}

  /**
   * The record is invalid; the previously accepted one, if any, stays in force.
   *
   * @param problems why the record is invalid; never empty
   */
  record Refused(List<RecordProblem> problems) implements OfferResult {}
}
