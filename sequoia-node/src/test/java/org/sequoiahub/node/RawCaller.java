package org.sequoiahub.node;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A caller that sees the bytes of a response, with its framing, and how its connection ends. */
final class RawCaller {

  private static final int READ_TIMEOUT_MILLIS = 20_000;

  private RawCaller() {}

  /** How the connection of a response ended. */
  enum End {
    /** The host closed it in order. */
    CLOSED,
    /** The host reset it. */
    RESET,
    /** The host left it open. */
    NONE
  }

  /**
   * A response as it was received.
   *
   * @param text the bytes, with the head and the framing
   * @param end how the connection ended
   */
  record Received(String text, End end) {}

  /** Sends a request on a connection of its own and reads until that ends. */
  static Received send(String ip, int port, String request) throws IOException {
    try (Socket socket = new Socket(ip, port)) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(ISO_8859_1));
      ByteArrayOutputStream received = new ByteArrayOutputStream();
      End end = read(socket.getInputStream(), received);
      return new Received(received.toString(ISO_8859_1), end);
    }
  }

  private static End read(InputStream in, ByteArrayOutputStream received) {
    try {
      for (int next = in.read(); next >= 0; next = in.read()) {
        received.write(next);
      }
      return End.CLOSED;
    } catch (SocketTimeoutException e) {
      return End.NONE;
    } catch (IOException e) {
      return End.RESET;
    }
  }
}
