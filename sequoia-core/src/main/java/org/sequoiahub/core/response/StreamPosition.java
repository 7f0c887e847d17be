package org.sequoiahub.core.response;

/** Where the received part of an event stream ends. */
public enum StreamPosition {
  /** No event has been received. */
  BEFORE_FIRST_EVENT,
  /** The last event is complete. */
  BETWEEN_EVENTS,
  /** The last event is incomplete. */
  INSIDE_EVENT
}
