package org.sequoiahub.runtime.port;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Finds ports that are free and outside the range of ephemeral ports.
 *
 * <p>A port that the system selects for a listener comes from the same range as the ports of
 * outgoing connections. A connection may take it between the search and the start of the listener,
 * which then fails to bind. Ports are therefore drawn from below that range.
 */
public final class FreePorts {

  /** Excludes the ports of well-known services. */
  private static final int MIN_PORT = 10_000;

  /** The first port for outgoing connections in the system's default configuration. */
  private static final int FIRST_EPHEMERAL_PORT = 32_768;

  private static final int MAX_ATTEMPTS = 1_000;

  private FreePorts() {}

  /**
   * Returns distinct ports that are free on all addresses, for TCP and UDP.
   *
   * @param count the number of ports
   * @param random the source from which the ports are drawn
   * @throws IOException if too few free ports are found
   */
  public static List<Integer> find(int count, RandomGenerator random) throws IOException {
    List<Closeable> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    try {
      for (int i = 0; i < MAX_ATTEMPTS && ports.size() < count; i++) {
        int port = random.nextInt(MIN_PORT, FIRST_EPHEMERAL_PORT);
        if (tryBind(port, sockets)) {
          ports.add(port);
        }
      }
    } finally {
      for (Closeable socket : sockets) {
        socket.close();
      }
    }
    if (ports.size() < count) {
      throw new IOException(
          "only "
              + ports.size()
              + " of "
              + count
              + " free ports found; check what listens on this host");
    }
    return ports;
  }

  private static boolean tryBind(int port, List<Closeable> sockets) throws IOException {
    ServerSocket listener = new ServerSocket();
    sockets.add(listener);
    try {
      listener.bind(new InetSocketAddress(port), 1);
      sockets.add(new DatagramSocket(port));
      return true;
    } catch (BindException e) {
      // In use by another process or drawn before; the caller draws another port.
      return false;
    }
  }
}
