package org.sequoiahub.core.config;

import java.util.List;
import org.sequoiahub.core.record.RecordProblem;

/** What became of an offered record. */
public sealed interface OfferResult {

  /** The record is now the one in force. */
  record Accepted() implements OfferResult {}

  /** The same or a newer revision is in force already; nothing changed. */
  record NotNewer() implements OfferResult {}

  /**
   * The record cannot be accepted; the accepted one, if any, stays in force.
   *
   * @param problems why, never empty
   */
  record Refused(List<RecordProblem> problems) implements OfferResult {}
}
