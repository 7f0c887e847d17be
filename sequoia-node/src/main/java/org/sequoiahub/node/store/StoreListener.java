package org.sequoiahub.node.store;

import java.util.List;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.usersplatform.StoredItem;

/** Receives the contents of the store and its changes, on the decision thread. */
public interface StoreListener {

  /**
   * Receives all items of a prefix as of one position.
   *
   * @param askedMillis when the store was asked (ms): what it answered is at least as new, also if
   *     the answer was received much later
   */
  void snapshot(
      String prefix,
      List<StoredItem> items,
      StorePosition position,
      long askedMillis,
      long nowMillis);

  /**
   * Receives changes of a prefix up to one position.
   *
   * @param askedMillis as for {@link #snapshot}
   */
  void changes(
      String prefix,
      List<StoredItem> items,
      StorePosition position,
      long askedMillis,
      long nowMillis);

  /**
   * Called when the store became unreachable or reachable again for a prefix.
   *
   * @param why why the call failed; empty if the store is reachable
   * @param calledMillisAgo how long ago the call was made that shows it
   */
  void reachabilityChanged(
      String prefix, boolean reachable, String why, long calledMillisAgo, long nowMillis);
}
