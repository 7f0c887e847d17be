package org.sequoiahub.runtime.http;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahub.core.response.Framing;

/** Determines the framing of HTTP/1.1 responses (RFC 9112, section 6.3). */
public final class HttpFraming {

  private static final String CHUNKED = "chunked";

  private HttpFraming() {}

  /**
   * Returns the framing of a response.
   *
   * @param method the method of its request
   */
  public static Framing of(String method, int status, HttpFields headers) {
    if (HttpMethod.HEAD.is(method)
        || HttpStatus.isInformational(status)
        || status == HttpStatus.NO_CONTENT_204
        || status == HttpStatus.NOT_MODIFIED_304) {
      return Framing.NO_BODY;
    }
    if (headers.contains(HttpHeader.TRANSFER_ENCODING)) {
      return headers.contains(HttpHeader.TRANSFER_ENCODING, CHUNKED)
          ? Framing.CHUNKS
          : Framing.CONNECTION_END;
    }
    return headers.contains(HttpHeader.CONTENT_LENGTH) ? Framing.LENGTH : Framing.CONNECTION_END;
  }
}
