package org.sequoiahub.runtime.http;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;

/** Creates connections that report a connection reset as a failure. */
public final class ResetReportingConnector extends ClientConnector {

  /** Maximum size of a response's head and trailers (bytes). */
  public static final int MAX_HEADER_BYTES = 32 << 10;

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new ResetReportingEndPoint((SocketChannel) channel, selector, key, getScheduler());
  }
}
