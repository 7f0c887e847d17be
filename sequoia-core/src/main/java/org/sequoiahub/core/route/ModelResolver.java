package org.sequoiahub.core.route;

import java.util.Optional;
import org.sequoiahub.core.config.AcceptedRecords;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.Names;
import org.sequoiahub.core.record.PlatformRecord.Adapter;
import org.sequoiahub.core.record.PlatformRecord.TrafficShare;
import org.sequoiahub.core.verdict.Verdict.NotRun;

/** Resolves model names against the records in force. */
public final class ModelResolver {

  private ModelResolver() {}

  /**
   * Resolves a model name.
   *
   * @param model {@code adapter@version}, or {@code adapter} to choose a version by the record's
   *     traffic split
   * @param records the records in force
   * @param random a random number for this request, from 0 (inclusive) to 1 (exclusive)
   */
  public static Resolution resolve(String model, AcceptedRecords records, double random) {
    int at = model.indexOf('@');
    String name = at < 0 ? model : model.substring(0, at);
    if (!Names.isValid(name) || (at >= 0 && !Names.isValid(model.substring(at + 1)))) {
      return unknown("bad-model", "model must be of the form adapter or adapter@version");
    }
    String key = "adapters/" + name;
    Optional<Adapter> found = records.record(key).map(Adapter.class::cast);
    if (found.isEmpty()) {
      return unknown("unknown-adapter", "no adapter '" + name + "' is configured");
    }
    Adapter adapter = found.get();
    String version = at < 0 ? chooseVersion(adapter, random) : model.substring(at + 1);
    if (!adapter.hasVersion(version)) {
      return unknown("unknown-version", "adapter '" + name + "' has no version '" + version + "'");
    }
    long revision = records.stored(key).map(stored -> stored.revision()).orElse(0L);
    return new Resolution.Resolved(new AdapterVersion(name, version), adapter, revision);
  }

  private static String chooseVersion(Adapter adapter, double random) {
    long totalWeight = adapter.traffic().stream().mapToLong(TrafficShare::weight).sum();
    double remaining = random * totalWeight;
    for (TrafficShare share : adapter.traffic()) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.version();
      }
    }
    throw new IllegalArgumentException("random must be below 1, was " + random);
  }

  private static Resolution unknown(String reason, String message) {
    return new Resolution.Unknown(new NotRun(reason, message, 0));
  }
}
