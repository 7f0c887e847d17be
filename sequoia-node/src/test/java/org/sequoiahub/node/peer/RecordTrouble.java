package org.sequoiahub.node.peer;

import java.util.List;
import java.util.stream.Stream;

/**
 * One fault in a fleet that follows the store.
 *
 * @param tenths tenths of the fleet that are affected
 * @param forMillis duration of the fault (ms)
 * @param pauseMillis fault-free time before it (ms)
 */
record RecordTrouble(Kind kind, int tenths, int forMillis, int pauseMillis) {

  enum Kind {
    STORE_SILENT,
    STORE_REFUSES,
    STORE_RESETS,
    STORE_SLOW,
    STORE_LOSES_ANSWERS,
    STORE_STALE,
    WATCHES_QUIET_THEN_HISTORY_DROPPED,
    CONNECTIONS_SILENT,
    PEER_CONNECTIONS_SILENT,
    HOSTS_RESTART,
    HOSTS_FREEZE,
    HOSTS_CUT_ONE_WAY,
    CHANGES_IN_STORM,
    /** The store is silent for a moment and comes back from a copy of {@code forMillis} ago. */
    STORE_RESTORED
  }

  /** The faults in which the store's revisions only rise. */
  static final List<Kind> WITHIN_ONE_ERA =
      Stream.of(Kind.values()).filter(kind -> kind != Kind.STORE_RESTORED).toList();
}
