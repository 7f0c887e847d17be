package org.sequoiahub.runtime.http;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Connection;
import org.sequoiahub.core.response.Completeness;
import org.sequoiahub.core.response.ConnectionEnd;
import org.sequoiahub.core.response.Framing;
import org.sequoiahub.core.response.ResponseCompleteness;

/** Decides whether a response that an HTTP client reports without a failure is complete. */
public final class ReceivedResponse {

  private ReceivedResponse() {}

  /** Returns the framing of a response. */
  public static Framing framing(Response response) {
    return HttpFraming.of(
        response.getRequest().getMethod(), response.getStatus(), response.getHeaders());
  }

  /**
   * Returns whether a response is complete.
   *
   * <p>A body that ends with its connection is complete only if the connection was made by a {@link
   * ResetReportingConnector}, which alone knows how it ended.
   */
  public static Completeness completeness(Response response) {
    return ResponseCompleteness.of(framing(response), connectionEnd(response.getRequest()));
  }

  /**
   * Limits the data that the connection of a request receives from now on until the next call,
   * which follows each head and each part of the body. A connection that was not made by a {@link
   * ResetReportingConnector} has no such limit.
   */
  public static void restartUnframedLimit(Request request) {
    if (request.getConnection() instanceof Connection connection
        && connection.getEndPoint() instanceof ResetReportingEndPoint endPoint) {
      endPoint.restartUnframedLimit();
    }
  }

  /**
   * Returns whether the peer may have closed or reset the connection of a request. If it has not,
   * an early end of the response that the HTTP library reports stands for an invalid response.
   */
  public static boolean mayBeEndedByPeer(Request request) {
    if (request.getConnection() instanceof Connection connection
        && connection.getEndPoint() instanceof ResetReportingEndPoint endPoint) {
      ConnectionEnd end = endPoint.inputEnd();
      return end == ConnectionEnd.CLOSED || end == ConnectionEnd.RESET;
    }
    return true;
  }

  private static ConnectionEnd connectionEnd(Request request) {
    return request.getConnection() instanceof Connection connection
            && connection.getEndPoint() instanceof ResetReportingEndPoint endPoint
        ? endPoint.inputEnd()
        : ConnectionEnd.NONE;
  }
}
