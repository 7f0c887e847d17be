package org.sequoiahub.core.route;

import java.util.Optional;
import org.sequoiahub.core.config.AcceptedRecords;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.Names;
import org.sequoiahub.core.record.PlatformRecord.Adapter;
import org.sequoiahub.core.record.PlatformRecord.TrafficShare;
import org.sequoiahub.core.verdict.Verdict.NotRun;

/** Resolves {@code adapter} or {@code adapter@version} against the records in force. */
public final class ModelResolver {

  private ModelResolver() {}

  /**
   * Resolves a model name.
   *
   * @param model {@code adapter@version}, or {@code adapter} to let the record's traffic split
   *     choose
   * @param records the records in force
   * @param draw a number from 0 (included) to 1 (excluded), drawn at random for this request
   */
  public static Resolution resolve(String model, AcceptedRecords records, double draw) {
    int at = model.indexOf('@');
    String name = at < 0 ? model : model.substring(0, at);
    if (!Names.isValid(name) || (at >= 0 && !Names.isValid(model.substring(at + 1)))) {
      return unknown("bad-model", "model must be adapter or adapter@version");
    }
    String key = "adapters/" + name;
    Optional<Adapter> found = records.record(key).map(Adapter.class::cast);
    if (found.isEmpty()) {
      return unknown("unknown-adapter", "no adapter '" + name + "' is configured");
    }
    Adapter adapter = found.get();
    String version = at < 0 ? chooseVersion(adapter, draw) : model.substring(at + 1);
    if (!adapter.hasVersion(version)) {
      return unknown("unknown-version", "adapter '" + name + "' has no version '" + version + "'");
    }
    long revision = records.stored(key).map(stored -> stored.revision()).orElse(0L);
    return new Resolution.Resolved(new AdapterVersion(name, version), adapter, revision);
  }

  private static String chooseVersion(Adapter adapter, double draw) {
    long sum = adapter.traffic().stream().mapToLong(TrafficShare::weight).sum();
    double left = draw * sum;
    for (TrafficShare share : adapter.traffic()) {
      left -= share.weight();
      if (left < 0) {
        return share.version();
      }
    }
    throw new IllegalArgumentException("draw must be below 1, was " + draw);
  }

  private static Resolution unknown(String reason, String message) {
    return new Resolution.Unknown(new NotRun(reason, message, 0));
  }
}
