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

/** Passes bytes on between a port of its own and another, and harms them as it is told. */
final class FaultProxy implements AutoCloseable {

  private static final int BUFFER_BYTES = 16_384;
  private static final int CONNECT_MILLIS = 500;

  /** What happens to bytes. */
  enum Mode {
    /** They are passed on. */
    PASS,
    /** Bytes towards the target are lost: its answers still come. */
    LOSE_REQUESTS,
    /** Bytes from the target are lost: it runs what nobody hears of. */
    LOSE_ANSWERS
  }

  private final ServerSocket server;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile InetSocketAddress target;
  private volatile Mode mode = Mode.PASS;
  private volatile long delayMillis;

  FaultProxy(String address) throws IOException {
    server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    target(address);
    startDaemon(this::acceptConnections, "proxy-accept");
  }

  /** Returns the proxy's own host:port. */
  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Leads new connections elsewhere, as when an address is used again. */
  void target(String address) {
    int colon = address.lastIndexOf(':');
    target =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Sets what happens to bytes from now on, on open connections too. */
  void mode(Mode now) {
    mode = now;
  }

  /** Holds each piece of bytes up for this long (ms). */
  void delay(long millis) {
    delayMillis = millis;
  }

  /** Resets all open connections. */
  void resetConnections() {
    for (Socket socket : openSockets) {
      abort(socket);
    }
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        Socket from = server.accept();
        startDaemon(() -> connect(from), "proxy-connect");
      } catch (IOException e) {
        // The port was closed: the loop ends.
      }
    }
  }

  private void connect(Socket from) {
    Socket to = new Socket();
    openSockets.add(from);
    openSockets.add(to);
    try {
      to.connect(target, CONNECT_MILLIS);
    } catch (IOException e) {
      // The target is down, as a fault may want it; the caller sees a reset.
      abort(from);
      abort(to);
      return;
    }
    startDaemon(() -> forward(from, to, Mode.LOSE_REQUESTS), "proxy-up");
    startDaemon(() -> forward(to, from, Mode.LOSE_ANSWERS), "proxy-down");
  }

  private void forward(Socket from, Socket to, Mode losing) {
    byte[] buffer = new byte[BUFFER_BYTES];
    boolean lost = false;
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        TimeUnit.MILLISECONDS.sleep(delayMillis);
        // Once bytes are lost the connection is silent for good: what came later would not fit.
        lost |= mode == losing;
        if (!lost) {
          out.write(buffer, 0, read);
          out.flush();
        }
      }
    } catch (IOException e) {
      // One side has gone; the other learns it below.
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
      // It was closed by the other pump.
    }
  }

  private static void startDaemon(Runnable work, String name) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    server.close();
    resetConnections();
  }
}
