package org.sequoiahub.wire;

import org.sequoiahub.core.config.AcceptedRecords;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.FleetJson;
import org.sequoiahub.core.record.RecordParser;
import org.sequoiahub.schema.wire.AcceptedRecord;
import org.sequoiahub.schema.wire.Update;

/**
 * A process's view of the accepted records and the host list, fed by updates. Revisions never
 * decrease.
 *
 * <p>Not thread-safe; confined to the thread of one duty.
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
   * Applies an update.
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

  /** Returns whether the watcher has reported that it caught up with its peers. */
  public boolean isCaughtUp() {
    return caughtUp;
  }
}
