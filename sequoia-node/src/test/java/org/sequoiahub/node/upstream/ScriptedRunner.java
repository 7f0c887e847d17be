package org.sequoiahub.node.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;

/** A runner on loopback that answers each request with the bytes it was given, or breaks off. */
final class ScriptedRunner implements AutoCloseable {

  private final ServerSocket server;
  private final List<String> requests = new CopyOnWriteArrayList<>();
  private final Script script;

  /** Answers one request on an open connection. */
  @FunctionalInterface
  interface Script {
    /** Writes the answer; {@code number} counts the runner's requests from 1. */
    void answer(int number, Socket connection, OutputStream out)
        throws IOException, InterruptedException;
  }

  ScriptedRunner(Script script) throws IOException {
    this.script = script;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread acceptor = new Thread(this::accept, "scripted-runner");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  RunnerEntry entry() {
    String address = "127.0.0.1:" + server.getLocalPort();
    return new RunnerEntry(
        RunnerIncarnation.of("i-1"), 0, "s", address, "d", 4, false, -1, 0, Set.of(), Map.of());
  }

  /** The heads of the requests so far. */
  List<String> requests() {
    return List.copyOf(requests);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(UTF_8));
    out.flush();
  }

  /** Closes a connection so that the other side sees a reset. */
  static void reset(Socket connection) throws IOException {
    connection.setSoLinger(true, 0);
    connection.close();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket connection = server.accept();
        Thread thread = new Thread(() -> serve(connection), "scripted-connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = connection.getInputStream();
      OutputStream out = connection.getOutputStream();
      while (true) {
        String head = head(in);
        if (head.isEmpty()) {
          return;
        }
        int number;
        synchronized (this) {
          requests.add(head);
          number = requests.size();
        }
        script.answer(number, connection, out);
        if (connection.isClosed()) {
          return;
        }
      }
    } catch (IOException e) {
      // The other side closed: what it saw is what the test looks at.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String head(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    int next = in.read();
    while (next >= 0) {
      head.append((char) next);
      if (head.toString().endsWith("\r\n\r\n")) {
        return head.toString();
      }
      next = in.read();
    }
    return "";
  }
}
