package org.sequoiahub.node.store;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.StoreClient;
import org.sequoiahub.usersplatform.StoreClient.Result;
import org.sequoiahub.usersplatform.StoreKeys;
import org.sequoiahub.usersplatform.StoredItem;
import org.sequoiahub.usersplatform.standin.VirtualStore;
import org.sequoiahub.usersplatform.standin.VirtualStore.Fault;

/** A response of the store that takes longer to arrive than the store may take to answer. */
class StoreTransferTest {

  /** A store that sends each response in pieces. */
  @Nested
  class OverSlowLink {

    private static final int TIMEOUT_MILLIS = 400;
    private static final int PIECES = 10;
    private static final int PIECE_MILLIS = 100;
    private static final String BODY = "{\"items\":[],\"currentRev\":9}";

    /** The number of pieces after which the store sends nothing more. */
    private volatile int sentPieces = PIECES;

    private ServerSocket server;
    private HttpClient http;

    @BeforeEach
    void open() throws Exception {
      server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      Thread store = new Thread(this::serve, "store");
      store.setDaemon(true);
      store.start();
      http = UpstreamClient.start();
    }

    @AfterEach
    void close() throws Exception {
      http.stop();
      server.close();
    }

    private void serve() {
      try (Socket connection = server.accept()) {
        BufferedReader in =
            new BufferedReader(new InputStreamReader(connection.getInputStream(), UTF_8));
        while (!in.readLine().isEmpty()) {
          continue;
        }
        OutputStream out = connection.getOutputStream();
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + (BODY.length() + PIECES) + "\r\n\r\n";
        out.write(head.getBytes(UTF_8));
        for (int piece = 0; piece < sentPieces; piece++) {
          out.write(' ');
          Thread.sleep(PIECE_MILLIS);
        }
        if (sentPieces == PIECES) {
          out.write(BODY.getBytes(UTF_8));
        }
        in.readLine();
      } catch (IOException e) {
        // The client or the test has closed the connection.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private Result read() throws Exception {
      CompletableFuture<Result> result = new CompletableFuture<>();
      new StoreClient(http, "127.0.0.1:" + server.getLocalPort())
          .range("op/", "", TIMEOUT_MILLIS, result::complete);
      return result.get(20, TimeUnit.SECONDS);
    }

    /** Guards against a large configuration that a host with a slow link can never read. */
    @Test
    void isReadThoughItTakesLongerThanTheTimeout() throws Exception {
      assertThat(read()).isInstanceOf(Result.Items.class);
    }

    @Test
    void failsIfNothingMoreArrives() throws Exception {
      sentPieces = 3;
      assertThat(read()).isInstanceOf(Result.Failed.class);
    }
  }

  /** A follower in virtual time. */
  @Nested
  class Follower {

    private static final int HOST = 1;
    private static final int TICK_MILLIS = 10;
    private static final int OUTAGE_MILLIS = 3_000;

    /** Several intervals at which calls are made while the store does not answer. */
    private static final int TRANSFER_MILLIS = 1_800;

    private long now = 1_000_000;
    private final VirtualStore store = new VirtualStore(1, now);
    private final List<Runnable> decisions = new ArrayList<>();
    private int changes;

    private final StoreFollower follower =
        new StoreFollower(
            store.reader(HOST),
            StoreKeys.OPERATOR_PREFIX,
            WatchTiming.within(2_000, 0),
            new StoreEras(new EventLog("test", "host-1")),
            new Listener(),
            decisions::add,
            () -> now,
            () -> 0.5);

    private final class Listener implements StoreListener {
      @Override
      public void snapshot(
          String prefix, List<StoredItem> items, StorePosition position, long asked, long at) {}

      @Override
      public void changes(
          String prefix, List<StoredItem> items, StorePosition position, long asked, long at) {
        changes += items.size();
      }

      @Override
      public void reachabilityChanged(
          String prefix, boolean reachable, String why, long calledMillisAgo, long at) {}
    }

    private void advance(long millis, Supplier<Boolean> done) {
      for (long end = now + millis; now < end && !done.get(); now += TICK_MILLIS) {
        store.advance(now);
        List<Runnable> due = List.copyOf(decisions);
        decisions.clear();
        due.forEach(Runnable::run);
        if (!done.get()) {
          follower.tick(now);
        }
      }
    }

    /** Guards against calls that share a slow link with the response to an earlier one. */
    @Test
    void makesNoFurtherCallWhileTheResponseArrives() {
      store.putConfiguration(1, "/v1/");
      advance(2_000, () -> false);
      store.setFault(Fault.SILENT, host -> true);
      advance(OUTAGE_MILLIS, () -> false);
      store.setFault(Fault.NONE, host -> false);
      store.setTransferMillis(TRANSFER_MILLIS);
      store.putConfiguration(2, "/v2/");
      advance(1_000, () -> store.transferCount(HOST) > 0);
      long calls = store.callCount();
      advance(TRANSFER_MILLIS + 100, () -> changes > 0);
      assertWithMessage("changes received").that(changes).isEqualTo(1);
      assertWithMessage("calls meanwhile").that(store.callCount() - calls).isEqualTo(0);
    }
  }
}
