package org.sequoiahub.runtime.duty;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Forwards events to a duty that is created after the components that send to it.
 *
 * @param <E> the type of events
 */
public final class DeferredInbox<E> implements Consumer<E> {

  private final AtomicReference<@Nullable Duty<E>> target = new AtomicReference<>();

  /** Sets the duty. Earlier events are dropped, so set it before any event source is opened. */
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
