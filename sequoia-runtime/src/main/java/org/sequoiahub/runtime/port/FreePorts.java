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
 * Finds ports that nobody listens on and that the system gives to no outgoing connection.
 *
 * <p>A port that the system chose for a listener comes from the range out of which it also serves
 * outgoing connections. Between the search and the start of the listener a connection may take it,
 * and the listener fails to bind. So ports are drawn from below that range.
 */
public final class FreePorts {

  /** Below are the ports of well-known services. */
  private static final int LOWEST = 10_000;

  /** Outgoing connections get their ports from here on, unless the machine is set otherwise. */
  private static final int EPHEMERAL = 32_768;

  private static final int MAX_TRIES = 1_000;

  private FreePorts() {}

  /**
   * Returns different ports that are free on all addresses, for TCP and UDP.
   *
   * @param count how many
   * @param random where they are drawn from
   * @throws IOException if too few are free
   */
  public static List<Integer> find(int count, RandomGenerator random) throws IOException {
    List<Closeable> held = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    try {
      for (int i = 0; i < MAX_TRIES && ports.size() < count; i++) {
        int port = random.nextInt(LOWEST, EPHEMERAL);
        if (hold(port, held)) {
          ports.add(port);
        }
      }
    } finally {
      for (Closeable socket : held) {
        socket.close();
      }
    }
    if (ports.size() < count) {
      throw new IOException("only " + ports.size() + " of " + count + " ports are free");
    }
    return ports;
  }

  private static boolean hold(int port, List<Closeable> held) throws IOException {
    ServerSocket listener = new ServerSocket();
    held.add(listener);
    try {
      listener.bind(new InetSocketAddress(port), 1);
      held.add(new DatagramSocket(port));
      return true;
    } catch (BindException e) {
      // Taken by another process or drawn before: the caller draws again.
      return false;
    }
  }
}
