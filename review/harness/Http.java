import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A minimal HTTP/1.1 server and client on blocking sockets, for the stand-ins of the cases. */
final class Http {

  private Http() {}

  /** A request as a server received it. */
  static final class Request {
    String method = "";
    String target = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    String query(String name) throws IOException {
      int query = target.indexOf('?');
      if (query < 0) {
        return "";
      }
      for (String pair : target.substring(query + 1).split("&")) {
        int equals = pair.indexOf('=');
        if (equals > 0 && pair.substring(0, equals).equals(name)) {
          return java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
        }
      }
      return "";
    }
  }

  /** A connection that a server accepted. */
  static final class Connection {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      this.in = new BufferedInputStream(socket.getInputStream(), 16_384);
      this.out = socket.getOutputStream();
    }

    void respond(int status, String headers, byte[] body) throws IOException {
      String head =
          "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.getBytes(StandardCharsets.ISO_8859_1));
      all.write(body);
      out.write(all.toByteArray());
      out.flush();
    }

    void respond(int status, String headers, String body) throws IOException {
      respond(status, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    void startChunks(int status, String headers) throws IOException {
      out.write(
          ("HTTP/1.1 " + status + " S\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    void chunk(String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      out.write(
          (Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n")
              .getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    void endChunks() throws IOException {
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    void reset() {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // The connection is closed already.
      }
    }
  }

  /** Handles the requests of one connection, one after the other. */
  interface Handler {
    void handle(Connection connection, Request request) throws Exception;
  }

  /** Opens a server on a loopback address; each connection has a thread of its own. */
  static ServerSocket serve(String ip, Handler handler) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
    Thread acceptor =
        new Thread(
            () -> {
              while (!server.isClosed()) {
                try {
                  Socket socket = server.accept();
                  Thread worker = new Thread(() -> work(socket, handler), "http-" + socket);
                  worker.setDaemon(true);
                  worker.start();
                } catch (IOException e) {
                  return;
                }
              }
            },
            "accept-" + ip);
    acceptor.setDaemon(true);
    acceptor.start();
    return server;
  }

  private static void work(Socket socket, Handler handler) {
    try (socket) {
      Connection connection = new Connection(socket);
      while (true) {
        Request request = readRequest(connection.in);
        if (request == null) {
          return;
        }
        handler.handle(connection, request);
        if (socket.isClosed()) {
          return;
        }
      }
    } catch (Exception e) {
      // The peer has left, or the stand-in closed the connection on purpose.
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new EOFException("the connection ended inside a line");
      }
      if (next == '\n') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(next);
    }
  }

  private static Request readRequest(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    String[] parts = first.split(" ");
    Request request = new Request();
    request.method = parts[0];
    request.target = parts[1];
    readHeaders(in, request.headers);
    request.body = readBody(in, request.headers, false);
    return request;
  }

  private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
  }

  private static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilEnd)
      throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String size = line(in);
        if (size == null) {
          throw new EOFException("the connection ended between chunks");
        }
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        if (length == 0) {
          readHeaders(in, new LinkedHashMap<>());
          return body.toByteArray();
        }
        body.write(exactly(in, length));
        line(in);
      }
    }
    String length = headers.get("content-length");
    if (length != null) {
      return exactly(in, Integer.parseInt(length));
    }
    return untilEnd ? in.readAllBytes() : new byte[0];
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the connection ended inside a body");
    }
    return bytes;
  }

  /** A client's answer; status 0 if there is no complete one. */
  static final class Answer {
    int status;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];
    String problem = "";
    boolean connected;

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** A client's connection, which carries one request at a time. */
  static final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private InputStream in;

    void connect(String ip, int port, int timeoutMillis) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), timeoutMillis);
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and waits for its answer. */
    Answer exchange(String head, byte[] body, int timeoutMillis) {
      Answer answer = new Answer();
      try {
        answer.connected = true;
        socket.setSoTimeout(timeoutMillis);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        socket.getOutputStream().write(all.toByteArray());
        String first = line(in);
        if (first == null) {
          throw new EOFException("the connection ended before the answer");
        }
        int status = Integer.parseInt(first.split(" ")[1]);
        readHeaders(in, answer.headers);
        answer.body = readBody(in, answer.headers, true);
        answer.status = status;
      } catch (IOException | RuntimeException e) {
        answer.problem = e.toString();
      }
      return answer;
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Closed already.
      }
    }
  }
}
