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

  private static ConnectionEnd connectionEnd(Request request) {
    return request.getConnection() instanceof Connection connection
            && connection.getEndPoint() instanceof ResetReportingEndPoint endPoint
        ? endPoint.inputEnd()
        : ConnectionEnd.NONE;
  }
}
