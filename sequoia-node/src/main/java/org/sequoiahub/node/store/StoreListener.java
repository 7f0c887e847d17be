package org.sequoiahub.node.store;

import java.util.List;
import org.sequoiahub.usersplatform.StoredItem;

/** Receives what the store holds, on the decision thread. */
public interface StoreListener {

  /** Receives all items of a prefix as of one revision. */
  void snapshot(String prefix, List<StoredItem> items, long revision, long nowMillis);

  /** Receives changes of a prefix up to one revision. */
  void changes(String prefix, List<StoredItem> items, long revision, long nowMillis);

  /**
   * Told that the store was lost or regained, for one prefix.
   *
   * @param askedMillisAgo when the call was made that shows it
   */
  void reachabilityChanged(String prefix, boolean reachable, String why, long askedMillisAgo, long nowMillis);
}
