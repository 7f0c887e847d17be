package org.sequoiahub.node.store;

import static java.util.Objects.requireNonNull;

import org.sequoiahub.runtime.log.EventLog;

/**
 * The eras of the store, as its responses to this host state them. A response of an earlier era
 * than a response before it comes from an outdated copy of the store, or was delayed, and must not
 * be used.
 *
 * <p>Used on the decision thread only.
 */
public final class StoreEras {

  private final EventLog log;
  private long current;
  private long obsoleteLogged = -1;

  /** Creates eras of which none is known. */
  public StoreEras(EventLog log) {
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Returns the latest known era; 0 if none is known. */
  long current() {
    return current;
  }

  /** Records the era of a response, and returns whether the response may be used. */
  boolean accept(String prefix, long era) {
    if (era < current) {
      if (obsoleteLogged != era) {
        obsoleteLogged = era;
        log.warning("store-response-obsolete", "prefix", prefix, "era", era, "known_era", current);
      }
      return false;
    }
    if (era > current) {
      log.info("store-era-stated", "prefix", prefix, "era", era, "before", current);
      current = era;
      obsoleteLogged = -1;
    }
    return true;
  }
}
