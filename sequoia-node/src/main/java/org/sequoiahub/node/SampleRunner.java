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

/** A minimal model runner on loopback, for the self-check. */
final class SampleRunner implements AutoCloseable {

  private static final String CONTENT_LENGTH = "content-length:";

  private final ServerSocket serverSocket;

  /** Opens a port on loopback and starts to accept connections. */
  SampleRunner() throws IOException {
    serverSocket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    startDaemon(this::accept);
  }

  /** Returns the runner's address as {@code host:port}. */
  String address() {
    return serverSocket.getInetAddress().getHostAddress() + ":" + serverSocket.getLocalPort();
  }

  private void accept() {
    while (!serverSocket.isClosed()) {
      try {
        Socket connection = serverSocket.accept();
        startDaemon(() -> serve(connection));
      } catch (IOException e) {
        // The port was closed because the self-check is over.
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
      // The node closed the connection: there are no more requests to answer.
      return;
    }
  }

  private static void skipRequest(BufferedReader in) throws IOException {
    int length = 0;
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      if (line.toLowerCase(Locale.ROOT).startsWith(CONTENT_LENGTH)) {
        length = Integer.parseInt(line.substring(CONTENT_LENGTH.length()).trim());
      }
      line = in.readLine();
    }
    in.skip(length);
  }

  private static void startDaemon(Runnable work) {
    Thread thread = new Thread(work, "sample-runner");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
  }
}
