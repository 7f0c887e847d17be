package org.sequoiahub.core.runner;

import org.sequoiahub.core.record.AdapterVersion;

/** One adapter slot of an engine, as far as its owner knows. */
final class Slot {

  /** What the slot's adapter may be used for. */
  enum State {
    LOADING,
    READY,
    /** Takes no new requests and is evicted once idle. */
    DRAINING,
    UNLOADING,
    /** A load's outcome is not known: not to be used, not to be evicted. */
    LOAD_UNKNOWN,
    /** An eviction's outcome is not known: not to be used while the order may still arrive. */
    UNLOAD_UNKNOWN
  }

  private final AdapterVersion adapter;
  private State state;
  private long changedMillis;
  private long lastUsedMillis;
  private long exclusiveTerm;
  private long evictableFromMillis = Long.MIN_VALUE;

  Slot(AdapterVersion adapter, State state, long provenTerm, long nowMillis) {
    this.adapter = adapter;
    this.state = state;
    this.exclusiveTerm = provenTerm;
    this.changedMillis = nowMillis;
    this.lastUsedMillis = nowMillis;
  }

  AdapterVersion adapter() {
    return adapter;
  }

  State state() {
    return state;
  }

  boolean is(State wanted) {
    return state == wanted;
  }

  void transitionTo(State next, long nowMillis) {
    state = next;
    changedMillis = nowMillis;
  }

  long changedMillis() {
    return changedMillis;
  }

  long lastUsedMillis() {
    return lastUsedMillis;
  }

  void markUsed(long nowMillis) {
    lastUsedMillis = nowMillis;
  }

  /** Returns whether an eviction may be tried, as far as earlier tries are concerned. */
  boolean isEvictionAllowed(long nowMillis) {
    return nowMillis >= evictableFromMillis;
  }

  void deferEvictionUntil(long millis) {
    evictableFromMillis = millis;
  }

  /**
   * Returns whether everything that may run on this adapter in {@code term} was started in that
   * term by its holder. Until that is proven a request of a former owner may be running on it.
   */
  boolean isExclusiveIn(long term) {
    return exclusiveTerm == term;
  }

  void markExclusiveIn(long term) {
    exclusiveTerm = term;
  }
}
