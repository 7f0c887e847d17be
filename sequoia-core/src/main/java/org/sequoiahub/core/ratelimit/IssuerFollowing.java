package org.sequoiahub.core.ratelimit;

import static java.util.Objects.requireNonNull;

/**
 * Which host this host accepts permits from.
 *
 * <p>Each host contributes its equal part of every limit to the one issuer that it follows and
 * states in its messages. An issuer counts a follower for at most {@link #VALID_MILLIS} after the
 * follower's last message, and a host that turns to another issuer follows nobody until then. No
 * part is therefore used by two issuers, whatever the hosts believe about each other.
 */
public final class IssuerFollowing {

  /** How long an issuer counts a follower after the follower's last message (ms). */
  public static final long VALID_MILLIS = 1_500;

  /** How much longer a message that names an issuer may be on its way (ms). */
  private static final long TRANSIT_MILLIS = 300;

  private static final String NOBODY = "";

  private final String self;
  private String followed = NOBODY;

  /** The host that was stated last, which may still count this host. */
  private String stated = NOBODY;

  private long freeFromMillis;

  /**
   * Creates the state of a process that has just started, of whose predecessor nothing is known.
   *
   * @param self the name of this host
   * @param firstStart whether this host has no predecessor
   */
  public IssuerFollowing(String self, boolean firstStart, long startedMillis) {
    this.self = requireNonNull(self, "self must not be null");
    this.freeFromMillis =
        firstStart ? Long.MIN_VALUE / 2 : startedMillis + VALID_MILLIS + TRANSIT_MILLIS;
  }

  /** Returns the name of the host that this host follows; empty if it follows none. */
  public String followed() {
    return followed;
  }

  /** Returns whether this host follows itself. */
  public boolean isFollowingSelf() {
    return followed.equals(self);
  }

  /**
   * Follows a host as soon as no other one can count this host any more.
   *
   * @param preferred the name of the host to follow; empty if there is none
   * @param previousLeft whether the host that is followed now has announced that it leaves, after
   *     which it issues no more permits
   * @return whether the followed host has changed
   */
  public boolean prefer(String preferred, boolean previousLeft, long nowMillis) {
    requireNonNull(preferred, "preferred must not be null");
    if (preferred.equals(followed)) {
      return false;
    }
    final String before = followed;
    if (isFollowingSelf() || previousLeft) {
      freeFromMillis = Long.MIN_VALUE / 2;
    }
    boolean mayFollow = nowMillis >= freeFromMillis || preferred.equals(stated);
    followed = mayFollow ? preferred : NOBODY;
    return !followed.equals(before);
  }

  /** Returns the name to state in a message that is sent now; empty if this host follows none. */
  public String state(long nowMillis) {
    if (!followed.isEmpty()) {
      stated = followed;
      freeFromMillis = nowMillis + VALID_MILLIS + TRANSIT_MILLIS;
    }
    return followed;
  }
}
