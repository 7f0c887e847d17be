package org.sequoiahub.node.peer;

/**
 * One trouble of a fleet that follows the store.
 *
 * @param tenths how much of the fleet it strikes
 * @param forMillis how long it lasts
 * @param pauseMillis how long it is calm before
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
    CHANGES_IN_STORM
  }
}
