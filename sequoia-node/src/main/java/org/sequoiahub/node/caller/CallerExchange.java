package org.sequoiahub.node.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.core.verdict.Verdict;

/**
 * One caller's request with its complete body, and its response, which is sent once.
 *
 * <p>Thread-safe. A second response is ignored, since a timeout and the response of an upstream may
 * coincide.
 */
public interface CallerExchange {

  /**
   * What another host did with a request before it passed it on to this one.
   *
   * @param host the other host's IP address
   * @param priorRuns the number of attempts that may have run
   * @param streamVersion the software version at which the stream must go on; null if it is a new
   *     one
   */
  record Forwarding(String host, int priorRuns, @Nullable SoftwareVersion streamVersion) {}

  /** Returns the request's method. */
  String method();

  /** Returns the path and query as the caller sent them. */
  String pathAndQuery();

  /** Returns the path as the caller sent it. */
  String path();

  /** Returns the host name that the caller used, without a port. */
  String host();

  /** Returns the IP address that the request came from. */
  String callerIp();

  /** Returns the request's headers. */
  HttpFields headers();

  /** Returns the request's body. */
  byte[] body();

  /** Returns how the request was passed on; null if the caller sent it to this host. */
  default @Nullable Forwarding forwarding() {
    return null;
  }

  /** Returns whether the caller has closed its connection. */
  boolean isCallerDisconnected();

  /** Requests that the connection is closed after this response. */
  void closeConnectionAfterResponse();

  /** Returns whether a status guarantees the caller that its request has not run and will not. */
  static boolean guaranteesNotRun(int status) {
    return status == HttpStatus.TOO_MANY_REQUESTS_429
        || status == HttpStatus.SERVICE_UNAVAILABLE_503
        || status == HttpStatus.REQUEST_TIMEOUT_408
        || status == HttpStatus.MISDIRECTED_REQUEST_421;
  }

  /**
   * Sends a complete response, or aborts one that was started and has not ended. A status that
   * {@linkplain #guaranteesNotRun guarantees} that the request has not run is sent as 502: only
   * {@link #reject} may guarantee it.
   */
  void respond(int status, HttpFields headers, byte[] content);

  /** Sends a complete response with a line of text for a human reader. */
  default void respond(int status, HttpFields headers, String text) {
    respond(status, headers, line(text));
  }

  /**
   * Sends a complete response to a request that has not run and will not.
   *
   * @param evidence what shows that it has not run
   */
  void reject(Verdict.NotRun evidence, int status, HttpFields headers, byte[] content);

  /** Sends a complete response with a line of text, as {@link #reject} does. */
  default void reject(Verdict.NotRun evidence, int status, HttpFields headers, String text) {
    reject(evidence, status, headers, line(text));
  }

  private static byte[] line(String text) {
    return (text + "\n").getBytes(UTF_8);
  }

  /**
   * States the software version of the runner that began a stream, before the stream is started.
   */
  default void originatesAt(SoftwareVersion version) {}

  /** Starts a response whose content follows in chunks. */
  void start(int status, HttpFields headers);

  /** Writes a chunk of a response that was started; false if the caller has disconnected. */
  boolean writeChunk(ByteBuffer bytes);

  /** Completes a response that was started. */
  void complete();

  /** Ends a response without completing it, so that the caller detects that it is truncated. */
  void abort(String reason);

  /** Returns whether the first byte of the response may have been sent. */
  boolean isStarted();
}
