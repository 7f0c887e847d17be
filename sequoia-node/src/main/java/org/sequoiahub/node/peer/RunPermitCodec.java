package org.sequoiahub.node.peer;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.sequoiahub.core.concurrency.HostCalls;
import org.sequoiahub.core.concurrency.RunGrant;
import org.sequoiahub.core.concurrency.RunPermitIssuer;
import org.sequoiahub.schema.peer.RunPermitDemand;
import org.sequoiahub.schema.peer.RunPermitGrant;
import org.sequoiahub.schema.peer.RunPermitGrants;
import org.sequoiahub.schema.peer.RunPermitRequest;
import org.sequoiahub.schema.peer.RunnerCalls;

/** Converts the messages on run permits between hosts; invalid parts are left out. */
final class RunPermitCodec {

  /** Maximum number of calls or permits of one host at one runner that is accepted. */
  private static final int MAX_CALLS = 1 << 16;

  private RunPermitCodec() {}

  static RunPermitRequest encodeCalls(long number, long acknowledged, List<HostCalls> calls) {
    RunPermitRequest.Builder request =
        RunPermitRequest.newBuilder().setNumber(number).setAcknowledged(acknowledged);
    for (HostCalls stated : calls) {
      RunnerCalls.Builder message =
          RunnerCalls.newBuilder()
              .setRunner(stated.runner())
              .setHeld(stated.held())
              .setAnswered(stated.answered())
              .setRefused(stated.refused())
              .setGranted(stated.granted());
      stated
          .demands()
          .forEach(
              (priority, permits) ->
                  message.addDemands(
                      RunPermitDemand.newBuilder().setPriority(priority).setPermits(permits)));
      request.addCalls(message);
    }
    return request.build();
  }

  static List<HostCalls> decodeCalls(RunPermitRequest request) {
    return request.getCallsList().stream()
        .filter(
            calls ->
                !calls.getRunner().isEmpty() && calls.getHeld() >= 0 && calls.getGranted() >= 0)
        .map(
            calls ->
                new HostCalls(
                    calls.getRunner(),
                    Math.min(calls.getHeld(), MAX_CALLS),
                    calls.getAnswered(),
                    calls.getRefused(),
                    calls.getGranted(),
                    decodeDemands(calls)))
        .toList();
  }

  private static Map<Integer, Integer> decodeDemands(RunnerCalls calls) {
    return calls.getDemandsList().stream()
        .filter(demand -> demand.getPermits() > 0)
        .collect(
            Collectors.toMap(
                RunPermitDemand::getPriority,
                demand -> Math.min(demand.getPermits(), MAX_CALLS),
                Math::max));
  }

  static RunPermitGrants encodeGrants(RunPermitIssuer.HostGrants reply) {
    RunPermitGrants.Builder message =
        RunPermitGrants.newBuilder().setNumber(reply.number()).setAnswers(reply.answers());
    for (RunGrant grant : reply.grants()) {
      message.addGrants(
          RunPermitGrant.newBuilder()
              .setRunner(grant.runner())
              .setGranted(grant.granted())
              .setWaitMs((int) Math.min(Integer.MAX_VALUE, grant.waitMillis()))
              .setIntervalMs((int) Math.min(Integer.MAX_VALUE, grant.intervalMillis()))
              .setReusable(grant.reusable())
              .setCapacity(grant.capacity())
              .setHeld(grant.held()));
    }
    return message.build();
  }

  static RunPermitIssuer.HostGrants decodeGrants(RunPermitGrants message) {
    List<RunGrant> grants =
        message.getGrantsList().stream()
            .filter(grant -> !grant.getRunner().isEmpty() && grant.getGranted() >= 0)
            .map(
                grant ->
                    new RunGrant(
                        grant.getRunner(),
                        grant.getGranted(),
                        Integer.toUnsignedLong(grant.getWaitMs()),
                        Integer.toUnsignedLong(grant.getIntervalMs()),
                        grant.getReusable(),
                        grant.getCapacity(),
                        grant.getHeld()))
            .toList();
    return new RunPermitIssuer.HostGrants(message.getNumber(), message.getAnswers(), grants);
  }
}
