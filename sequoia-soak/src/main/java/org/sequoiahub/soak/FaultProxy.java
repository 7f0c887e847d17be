package org.sequoiahub.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A TCP proxy that forwards bytes to a target and can delay, discard or reset the traffic. */
final class FaultProxy implements AutoCloseable {

  private static final int BUFFER_BYTES = 16_384;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** How bytes are handled. */
  enum Mode {
    /** Bytes are forwarded in both directions. */
    PASS,
    /** Bytes to the target are discarded; its responses are still forwarded. */
    LOSE_REQUESTS,
    /** Bytes from the target are discarded: it runs requests whose responses are never received. */
    LOSE_ANSWERS
  }

  private final ServerSocket server;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile InetSocketAddress target;
  private volatile Mode mode = Mode.PASS;
  private volatile long delayMillis;
  private final Interruptions interruptions = new Interruptions();
  private @Nullable Long discardingSinceNanos;

  /**
   * Creates a proxy that listens on a free loopback port.
   *
   * @param address the target's host:port
   */
  FaultProxy(String address) throws IOException {
    server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    target(address);
    startDaemon(this::acceptConnections, "proxy-accept");
  }

  /** Returns the proxy's own host:port. */
  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Sets the target (host:port) of new connections, as when its address is reused. */
  void target(String address) {
    int colon = address.lastIndexOf(':');
    target =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /**
   * Sets how bytes are handled from now on, also on open connections; reset the connections when
   * bytes are no longer discarded.
   */
  synchronized void mode(Mode newMode) {
    if (newMode != Mode.PASS && discardingSinceNanos == null) {
      discardingSinceNanos = System.nanoTime();
    }
    mode = newMode;
  }

  /** Returns the times in which responses were broken off here. */
  Interruptions interruptions() {
    return interruptions;
  }

  /** Sets the delay before each chunk of bytes is forwarded (ms). */
  void delay(long millis) {
    delayMillis = millis;
  }

  /** Resets all open connections. */
  synchronized void resetConnections() {
    Long discardingSince = discardingSinceNanos;
    long fromNanos = discardingSince == null ? System.nanoTime() : discardingSince;
    for (Socket socket : openSockets) {
      abort(socket);
    }
    interruptions.add(fromNanos, System.nanoTime());
    if (mode == Mode.PASS) {
      discardingSinceNanos = null;
    }
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        Socket client = server.accept();
        startDaemon(() -> connect(client), "proxy-connect");
      } catch (IOException e) {
        // The server socket was closed, which ends the loop.
      }
    }
  }

  private void connect(Socket from) {
    Socket to = new Socket();
    openSockets.add(from);
    openSockets.add(to);
    try {
      to.connect(target, CONNECT_TIMEOUT_MILLIS);
    } catch (IOException e) {
      // The target may be down because of a fault; the client's connection is reset.
      abort(from);
      abort(to);
      return;
    }
    startDaemon(() -> forward(from, to, Mode.LOSE_REQUESTS), "proxy-up");
    startDaemon(() -> forward(to, from, Mode.LOSE_ANSWERS), "proxy-down");
  }

  private void forward(Socket from, Socket to, Mode discardMode) {
    byte[] buffer = new byte[BUFFER_BYTES];
    boolean discarding = false;
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        TimeUnit.MILLISECONDS.sleep(delayMillis);
        // Once bytes are discarded nothing more is forwarded: later bytes would leave a gap.
        discarding |= mode == discardMode;
        if (!discarding) {
          out.write(buffer, 0, read);
          out.flush();
        }
      }
    } catch (IOException e) {
      // One side closed its connection; the other one is closed below.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    abort(from);
    abort(to);
  }

  private void abort(Socket socket) {
    openSockets.remove(socket);
    try {
      if (!socket.isClosed()) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    } catch (IOException e) {
      // The other forwarding thread closed the socket.
    }
  }

  private static void startDaemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    server.close();
    resetConnections();
  }
}
