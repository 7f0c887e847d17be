package org.sequoiahub.wire;

import org.sequoiahub.core.config.AcceptedRecords;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.FleetJson;
import org.sequoiahub.core.record.RecordParser;
import org.sequoiahub.schema.wire.AcceptedRecord;
import org.sequoiahub.schema.wire.Update;

/**
 * The records and hosts in force on one process, fed by updates; neither ever goes back.
 *
 * <p>Not thread-safe: one duty owns it.
 */
public final class LocalView {

  private final AcceptedRecords records;
  private Fleet fleet = Fleet.EMPTY;
  private boolean caughtUp;

  /** Creates an empty view. */
  public LocalView(RecordParser parser) {
    this.records = new AcceptedRecords(parser, AcceptedRecords.Retention.PARSED);
  }

  /**
   * Takes in an update.
   *
   * @return whether the host list changed
   */
  public boolean apply(Update update) {
    for (AcceptedRecord record : update.getRecordsList()) {
      records.offer(WireRecords.fromWire(record));
    }
    caughtUp |= update.getCaughtUp();
    if (update.getHosts().isEmpty() || update.getHostsRevision() <= fleet.revision()) {
      return false;
    }
    fleet = FleetJson.parse(update.getHosts().toByteArray());
    return true;
  }

  /** Returns the records in force. */
  public AcceptedRecords records() {
    return records;
  }

  /** Returns the host list in force. */
  public Fleet fleet() {
    return fleet;
  }

  /** Returns whether the watcher had caught up with its peers. */
  public boolean isCaughtUp() {
    return caughtUp;
  }
}
