package org.sequoiahub.core.runner;

import org.sequoiahub.core.record.AdapterVersion;

/** The state of one adapter slot of an engine, as known by the runner's owner. */
final class Slot {

  /** The state of the slot's adapter. */
  enum State {
    LOADING,
    READY,
    /** Accepts no new requests and is evicted once idle. */
    DRAINING,
    UNLOADING,
    /** The result of its load is unknown: it must be neither used nor evicted. */
    LOAD_UNKNOWN,
    /** The result of its eviction is unknown: it must not be used while the order may arrive. */
    UNLOAD_UNKNOWN
  }

  private final AdapterVersion adapter;
  private State state;
  private long changedMillis;
  private long lastUsedMillis;
  private long exclusiveTerm;
  private long evictableFromMillis = Long.MIN_VALUE;

  Slot(AdapterVersion adapter, State state, long exclusiveTerm, long nowMillis) {
    this.adapter = adapter;
    this.state = state;
    this.exclusiveTerm = exclusiveTerm;
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

  /** Returns whether an eviction may be attempted after earlier failed attempts. */
  boolean isEvictionAllowed(long nowMillis) {
    return nowMillis >= evictableFromMillis;
  }

  void deferEvictionUntil(long millis) {
    evictableFromMillis = millis;
  }

  /**
   * Returns whether all requests that may run on this adapter in {@code term} were started by the
   * holder of that term. Until this is proven, a request of a former owner may be running on it.
   */
  boolean isExclusiveIn(long term) {
    return exclusiveTerm == term;
  }

  void markExclusiveIn(long term) {
    exclusiveTerm = term;
  }
}
