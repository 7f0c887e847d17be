package org.sequoiahub.node;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Locale;
import org.sequoiahub.usersplatform.SampleRecords;

/** Answers as a model runner would, for the program's check of itself. */
final class SampleRunner implements AutoCloseable {

  private static final String LENGTH = "content-length:";

  private final ServerSocket port;

  /** Opens a port on loopback. */
  SampleRunner() throws IOException {
    port = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  /** Returns the runner's host:port. */
  String address() {
    return port.getInetAddress().getHostAddress() + ":" + port.getLocalPort();
  }

  private void accept() {
    while (!port.isClosed()) {
      try {
        Socket connection = port.accept();
        daemon(() -> serve(connection));
      } catch (IOException e) {
        // The port was closed: the check is over.
        return;
      }
    }
  }

  private static void serve(Socket connection) {
    try (connection) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(connection.getInputStream(), ISO_8859_1));
      String first = in.readLine();
      while (first != null) {
        skipRequest(in);
        connection.getOutputStream().write(SampleRecords.runnerResponse(first.split(" ")[1]));
        first = in.readLine();
      }
    } catch (IOException e) {
      // The node closed the connection: nothing is left to answer.
      return;
    }
  }

  private static void skipRequest(BufferedReader in) throws IOException {
    int length = 0;
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH)) {
        length = Integer.parseInt(line.substring(LENGTH.length()).trim());
      }
      line = in.readLine();
    }
    in.skip(length);
  }

  private static void daemon(Runnable work) {
    Thread thread = new Thread(work, "sample-runner");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    port.close();
  }
}
