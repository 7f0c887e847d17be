package org.sequoiahub.node.forward;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.schema.wire.Cancel;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.ForwardedRequest;
import org.sequoiahub.schema.wire.ResponseHead;
import org.sequoiahub.schema.wire.RunVerdict;
import org.sequoiahub.wire.CallListener;
import org.sequoiahub.wire.WireClient;
import org.sequoiahub.wire.WireClients;

/** Passes callers' requests on to other hosts over their connections with each other. */
public final class WireRequestForwarder implements RequestForwarder {

  private final WireClients clients;
  private final int peerPort;

  /**
   * Creates a forwarder.
   *
   * @param peerPort the port on which hosts accept connections of each other
   */
  public WireRequestForwarder(WireClients clients, int peerPort) {
    this.clients = requireNonNull(clients, "clients must not be null");
    this.peerPort = peerPort;
  }

  @Override
  public Forwarded forward(
      CallerExchange exchange,
      String ip,
      long remainingMillis,
      int priorRuns,
      String lastEventId,
      @Nullable SoftwareVersion streamVersion,
      ForwardListener listener) {
    WireClient client = clients.clientOf(new Endpoint(ip, peerPort));
    ForwardedRequest request =
        ForwardedRequest.newBuilder()
            .setMethod(exchange.method())
            .setHost(exchange.host())
            .setPath(exchange.pathAndQuery())
            .addAllHeaders(HeaderFields.encode(exchange.headers()))
            .setBody(ByteString.copyFrom(exchange.body()))
            .setRemainingMs(remainingMillis)
            .setCallerIp(exchange.callerIp())
            .setPriorRuns(priorRuns)
            .setLastEventId(lastEventId)
            .setStreamVersion(streamVersion == null ? "" : streamVersion.name())
            .build();
    long call =
        client.call(
            Envelope.newBuilder().setForwarded(request), new ResponseReader(client, listener));
    return () -> {
      client.send(call, Envelope.newBuilder().setCancel(Cancel.getDefaultInstance()));
      client.endCall(call);
    };
  }

  /** Assembles a response from its messages. */
  private static final class ResponseReader implements CallListener {
    private final WireClient client;
    private final ForwardListener listener;
    private @Nullable ResponseHead head;
    private ByteString content = ByteString.EMPTY;
    private long chunks;
    private boolean chunkMissing;

    ResponseReader(WireClient client, ForwardListener listener) {
      this.client = client;
      this.listener = listener;
    }

    @Override
    public void onMessage(Envelope message) {
      if (message.hasHead()) {
        ResponseHead received = message.getHead();
        head = received;
        if (!received.getWhole()) {
          String version = received.getRunnerVersion();
          listener.streamStarted(
              received.getStatus(),
              HeaderFields.decode(received.getHeadersList()),
              version.isEmpty() ? null : SoftwareVersion.of(version));
        }
      } else if (message.hasChunk()) {
        chunks++;
        chunkMissing |= message.getChunk().getSequence() != chunks;
        if (chunkMissing) {
          return;
        }
        if (head != null && head.getWhole()) {
          content = message.getChunk().getData();
        } else {
          listener.streamContent(message.getChunk().getData().asReadOnlyByteBuffer());
        }
      } else if (message.hasOutcome()) {
        client.endCall(message.getCall());
        listener.ended(
            outcome(
                message.getOutcome().getComplete()
                    && !chunkMissing
                    && message.getOutcome().getChunks() == chunks,
                message.getOutcome().getVerdict()));
      }
    }

    private ForwardOutcome outcome(boolean complete, RunVerdict verdict) {
      ResponseHead received = head;
      if (!complete || received == null) {
        return new ForwardOutcome.Lost(
            "the other host ended the response early", verdict != RunVerdict.NOT_RUN);
      }
      return received.getWhole()
          ? new ForwardOutcome.Answered(
              received.getStatus(),
              HeaderFields.decode(received.getHeadersList()),
              content.toByteArray(),
              verdict == RunVerdict.NOT_RUN)
          : new ForwardOutcome.StreamCompleted();
    }

    @Override
    public void onConnectionLost(boolean possiblySent) {
      listener.ended(
          new ForwardOutcome.Lost("the connection to the other host was lost", possiblySent));
    }
  }
}
