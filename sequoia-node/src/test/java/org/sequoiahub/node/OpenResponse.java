package org.sequoiahub.node;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/** A request on a connection of its own, with what its caller has received so far. */
final class OpenResponse implements AutoCloseable {

  private static final Pattern EVENT = Pattern.compile("data: words (\\d+)\n");

  private final Socket socket;
  private final Thread reader;
  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private volatile RawCaller.End end = RawCaller.End.NONE;

  private OpenResponse(Socket socket) {
    this.socket = socket;
    this.reader = new Thread(this::read, "caller");
    reader.setDaemon(true);
    reader.start();
  }

  /** Sends the lines of a request, without its last line break if its body is not complete yet. */
  static OpenResponse send(String ip, int port, String... lines) throws IOException {
    OpenResponse response = new OpenResponse(new Socket(ip, port));
    response.sendMore(String.join("\r\n", lines));
    return response;
  }

  /** Sends a further part of the request. */
  void sendMore(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private void read() {
    try {
      byte[] buffer = new byte[4_096];
      for (int count = socket.getInputStream().read(buffer);
          count >= 0;
          count = socket.getInputStream().read(buffer)) {
        synchronized (received) {
          received.write(buffer, 0, count);
        }
      }
      end = RawCaller.End.CLOSED;
    } catch (IOException e) {
      end = RawCaller.End.RESET;
    }
  }

  /** Returns what was received, with the head and the framing. */
  String text() {
    synchronized (received) {
      return received.toString(ISO_8859_1);
    }
  }

  /** Returns the number of the last event that was received; 0 if there is none. */
  int lastEvent() {
    List<Integer> events = events();
    return events.isEmpty() ? 0 : events.get(events.size() - 1);
  }

  private List<Integer> events() {
    List<Integer> events = new ArrayList<>();
    Matcher event = EVENT.matcher(text());
    while (event.find()) {
      events.add(Integer.parseInt(event.group(1)));
    }
    return events;
  }

  /** Waits for an event; fails if the response ends before. */
  void awaitEvent(int number) throws InterruptedException {
    LoopbackFleet.await("event " + number, () -> lastEvent() >= number || !reader.isAlive());
    assertWithMessage(text()).that(lastEvent()).isAtLeast(number);
  }

  /** Waits for two more events; fails if the response ends before. */
  void awaitMoreEvents() throws InterruptedException {
    awaitEvent(lastEvent() + 2);
  }

  /** Waits for the end of the connection and returns how it ended. */
  RawCaller.End awaitEnd() throws InterruptedException {
    LoopbackFleet.await("the end of the connection", () -> !reader.isAlive());
    return end;
  }

  /** Waits for the end and checks that the response is a complete stream without gaps. */
  void assertWholeStream() throws InterruptedException {
    awaitEnd();
    assertWithMessage(text()).that(text()).startsWith("HTTP/1.1 200");
    assertWithMessage(text()).that(text()).endsWith("\r\n0\r\n\r\n");
    List<Integer> expected = IntStream.rangeClosed(1, lastEvent()).boxed().toList();
    assertWithMessage(text()).that(events()).isEqualTo(expected);
  }

  /** Waits for the end and checks that a stream that has begun is not complete. */
  void assertBrokenOff() throws InterruptedException {
    awaitEnd();
    assertWithMessage(text()).that(text()).startsWith("HTTP/1.1 200");
    assertWithMessage(text()).that(text().endsWith("\r\n0\r\n\r\n")).isFalse();
  }

  /** Closes the connection, as a caller that leaves. */
  @Override
  public void close() throws IOException {
    socket.close();
  }
}
