package org.sequoiahub.wire;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.schema.wire.Cancel;
import org.sequoiahub.schema.wire.Envelope;

class WireClientTest {

  private static final int ROUNDS = 300;
  private static final int CALLS = 200;
  private static final long IDLE_TIMEOUT_MILLIS = 5_000;
  private static final long SHORT_IDLE_TIMEOUT_MILLIS = 500;
  private static final long TIMEOUT_SECONDS = 20;

  private final EventLoopGroup threads = WireThreads.singleThread("test");

  @AfterEach
  void stop() {
    threads.shutdownGracefully();
  }

  /** Receives calls, which it tells apart by client and number. */
  private static final class Recorder implements WireServer.Handler {
    final Set<Long> received = ConcurrentHashMap.newKeySet();
    final AtomicInteger closed = new AtomicInteger();

    @Override
    public void onMessage(WireConnection connection, Envelope message) {
      received.add(message.getCall());
    }

    @Override
    public void onClosed(WireConnection connection) {
      closed.incrementAndGet();
    }
  }

  /** Guards against a call that is reported as not sent although it was written before a close. */
  @Test
  void callReportedAsNotSentNeverArrives() throws Exception {
    Random random = new Random(1);
    for (int round = 0; round < ROUNDS; round++) {
      Recorder server = new Recorder();
      try (WireServer opened =
          WireServer.open(threads, "127.0.0.1", 0, IDLE_TIMEOUT_MILLIS, server)) {
        WireClient client =
            new WireClient(threads, new Endpoint("127.0.0.1", opened.port()), IDLE_TIMEOUT_MILLIS);
        connect(client, server);
        Thread closer = new Thread(client::close, "closer");
        int closedAfter = random.nextInt(CALLS);
        Set<Long> notSent = new HashSet<>();
        for (int number = 0; number < CALLS; number++) {
          if (number == closedAfter) {
            closer.start();
          }
          boolean[] reported = {false};
          long call = client.call(message(), onLoss(sent -> reported[0] |= !sent));
          if (reported[0]) {
            notSent.add(call);
          }
        }
        closer.join();
        threads.submit(() -> {}).await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        notSent.retainAll(server.received);
        assertThat(notSent).isEmpty();
      }
    }
  }

  /** Guards against calls that wait for ever because their client was closed while it connected. */
  @Test
  void callEndsIfClientIsClosedWhileItConnects() throws Exception {
    Recorder server = new Recorder();
    try (WireServer opened =
        WireServer.open(threads, "127.0.0.1", 0, IDLE_TIMEOUT_MILLIS, server)) {
      WireClient client =
          new WireClient(threads, new Endpoint("127.0.0.1", opened.port()), IDLE_TIMEOUT_MILLIS);
      CountDownLatch blocked = new CountDownLatch(1);
      CountDownLatch ended = new CountDownLatch(1);
      threads.execute(() -> awaitQuietly(blocked));
      client.call(message(), onLoss(sent -> ended.countDown()));
      client.close();
      assertThat(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      blocked.countDown();
      threads.submit(() -> {}).await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(server.received).isEmpty();
    }
  }

  /** Guards against probes, for ever, of a connection that no call uses any more. */
  @Test
  void unusedConnectionIsClosedAndTheNextCallOpensAnother() throws Exception {
    Recorder server = new Recorder();
    try (WireServer opened =
        WireServer.open(threads, "127.0.0.1", 0, SHORT_IDLE_TIMEOUT_MILLIS, server)) {
      WireClient client =
          new WireClient(
              threads, new Endpoint("127.0.0.1", opened.port()), SHORT_IDLE_TIMEOUT_MILLIS);
      long first = client.call(message(), onLoss(sent -> {}));
      awaitReceived(server, first);
      TimeUnit.MILLISECONDS.sleep(3 * SHORT_IDLE_TIMEOUT_MILLIS);
      assertThat(server.closed.get()).isEqualTo(0);
      client.endCall(first);
      long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      while (server.closed.get() == 0 && System.nanoTime() < endNanos) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
      assertThat(server.closed.get()).isEqualTo(1);
      awaitReceived(server, client.call(message(), onLoss(sent -> {})));
      client.close();
    }
  }

  private static void awaitReceived(Recorder server, long call) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!server.received.contains(call) && System.nanoTime() < endNanos) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertThat(server.received).contains(call);
  }

  private static void connect(WireClient client, Recorder server) throws InterruptedException {
    client.call(message(), onLoss(sent -> {}));
    while (server.received.isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  private static Envelope.Builder message() {
    return Envelope.newBuilder().setCancel(Cancel.getDefaultInstance());
  }

  /** Receives whether a lost call may have been sent. */
  @FunctionalInterface
  private interface LossListener {
    void lost(boolean possiblySent);
  }

  private static CallListener onLoss(LossListener listener) {
    return new CallListener() {
      @Override
      public void onMessage(Envelope message) {}

      @Override
      public void onConnectionLost(boolean possiblySent) {
        listener.lost(possiblySent);
      }
    };
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
