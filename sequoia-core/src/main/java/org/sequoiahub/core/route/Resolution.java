package org.sequoiahub.core.route;

import java.util.function.Function;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.PlatformRecord.Adapter;
import org.sequoiahub.core.verdict.Verdict.NotRun;

/** Result of resolving a caller's model name. */
public sealed interface Resolution {

  /**
   * The exact adapter version to serve. It is passed on with the request and never resolved again.
   *
   * @param adapter the exact version
   * @param record the record that the name was resolved against
   * @param revision that record's revision
   */
  record Resolved(AdapterVersion adapter, Adapter record, long revision) implements Resolution {}

  /**
   * The adapter or version does not exist.
   *
   * @param verdict the refusal for the caller
   */
  record Unknown(NotRun verdict) implements Resolution {}

  /** Returns the result of the function that matches the type of this resolution. */
  default <T> T fold(Function<Resolved, T> resolved, Function<Unknown, T> unknown) {
    return this instanceof Resolved r ? resolved.apply(r) : unknown.apply((Unknown) this);
  }
}
