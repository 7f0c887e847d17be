package org.sequoiahub.node.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.util.concurrent.Uninterruptibles;
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
import org.sequoiahub.core.upstream.SoftwareVersion;

/** A runner on loopback whose response to each request is written by a script. */
public final class ScriptedRunner implements AutoCloseable {

  private final ServerSocket serverSocket;
  private final List<String> requestHeads = new CopyOnWriteArrayList<>();
  private final Script script;
  private final Thread acceptor;

  /** Responds to one request on an open connection. */
  @FunctionalInterface
  public interface Script {
    /** Writes the response; {@code number} counts the runner's requests from 1. */
    void respond(int number, Socket connection, OutputStream out)
        throws IOException, InterruptedException;
  }

  /** Opens a port and responds to each request by a script. */
  public ScriptedRunner(Script script) throws IOException {
    this.script = script;
    this.serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    this.acceptor = new Thread(this::accept, "scripted-runner");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  /** Returns the runner's entry. */
  public RunnerEntry entry() {
    String address = "127.0.0.1:" + serverSocket.getLocalPort();
    return new RunnerEntry(
        RunnerIncarnation.of("i-1"),
        0,
        "s",
        SoftwareVersion.of("v1"),
        address,
        "d",
        4,
        false,
        -1,
        0,
        Set.of(),
        Map.of());
  }

  /** Returns the heads of the requests received so far: request line and headers. */
  public List<String> requestHeads() {
    return List.copyOf(requestHeads);
  }

  /** Writes a part of a response. */
  public static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(UTF_8));
    out.flush();
  }

  /** Closes a connection with a reset. */
  public static void reset(Socket connection) throws IOException {
    connection.setSoLinger(true, 0);
    connection.close();
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    // Until accept has returned, the port may still take a connection.
    Uninterruptibles.joinUninterruptibly(acceptor);
  }

  private void accept() {
    while (!serverSocket.isClosed()) {
      try {
        Socket connection = serverSocket.accept();
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
        String head = readHead(in);
        if (head.isEmpty()) {
          return;
        }
        int number;
        synchronized (this) {
          requestHeads.add(head);
          number = requestHeads.size();
        }
        script.respond(number, connection, out);
        if (connection.isClosed()) {
          return;
        }
      }
    } catch (IOException e) {
      // The client closed the connection; the test checks what the client received.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readHead(InputStream in) throws IOException {
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
