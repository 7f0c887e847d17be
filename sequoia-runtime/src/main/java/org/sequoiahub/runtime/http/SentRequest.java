package org.sequoiahub.runtime.http;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Connection;

/** Acts on the connection on which an HTTP client sends a request. */
public final class SentRequest {

  private SentRequest() {}

  /**
   * Closes the connection of a request. Called before the client has written the request, it keeps
   * the request from being sent; an abort alone does not.
   */
  public static void closeConnection(Request request) {
    if (request.getConnection() instanceof Connection connection) {
      connection.getEndPoint().close();
    }
  }
}
