package org.sequoiahub.runtime.duty;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Passes events on to a duty that is created after the parts that send to it.
 *
 * @param <E> the type of events
 */
public final class DeferredInbox<E> implements Consumer<E> {

  private final AtomicReference<@Nullable Duty<E>> target = new AtomicReference<>();

  /** Sets the duty; events before are dropped, so connect before anything is opened. */
  public void forwardTo(Duty<E> duty) {
    target.set(duty);
  }

  @Override
  public void accept(E event) {
    Duty<E> duty = target.get();
    if (duty != null) {
      duty.put(event);
    }
  }
}
