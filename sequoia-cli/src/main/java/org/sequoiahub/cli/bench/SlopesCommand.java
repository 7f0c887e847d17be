package org.sequoiahub.cli.bench;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.PrintStream;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.sequoiahub.core.authority.Rights;
import org.sequoiahub.core.config.AcceptedRecords;
import org.sequoiahub.core.config.StoredRecord;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.fleet.Fleet.State;
import org.sequoiahub.core.operation.OperationTable;
import org.sequoiahub.core.placement.Placement;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.DefaultRecordParser;
import org.sequoiahub.core.record.Priority;
import org.sequoiahub.core.route.ModelResolver;
import org.sequoiahub.core.route.RouteSettings;
import org.sequoiahub.core.route.RunnerChooser;
import org.sequoiahub.core.route.RunnerHints;
import org.sequoiahub.core.runner.EngineReport;
import org.sequoiahub.core.runner.PolicySettings;
import org.sequoiahub.core.runner.RunnerController;
import org.sequoiahub.core.runner.RunnerRequest;
import org.sequoiahub.core.stream.ChunkSequencer;
import org.sequoiahub.schema.wire.Chunk;
import org.sequoiahub.schema.wire.Digest;
import org.sequoiahub.schema.wire.DigestAnswer;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.InferenceCall;
import org.sequoiahub.schema.wire.LeaseCall;
import org.sequoiahub.schema.wire.Update;
import org.sequoiahub.wire.WireRecords;

/** {@code sequoia bench slopes}: what each piece of state and each message costs. */
public final class SlopesCommand {

  private static final int[] RECORD_SIZES = {3_000, 20_000, 77_000};
  private static final int[] RUNNER_SIZES = {16, 260, 2_100};
  private static final int[] STREAM_SIZES = {100, 1_000, 10_000};
  private static final int FRAME_BYTES = 4;
  private static final Rights SOLE = new Rights(true, 1, Long.MIN_VALUE / 2);

  private SlopesCommand() {}

  /** Prints one line a figure and size. */
  public static void run(PrintStream out) {
    for (int size : RECORD_SIZES) {
      records(size, out);
    }
    for (int size : RUNNER_SIZES) {
      runners(size, out);
      route(size, out);
    }
    for (int size : STREAM_SIZES) {
      streams(size, out);
    }
    messages(out);
  }

  private static void records(int size, PrintStream out) {
    double stored = heapOf(() -> filled(size, AcceptedRecords.Retention.VALUES)) / size;
    double parsed = heapOf(() -> filled(size, AcceptedRecords.Retention.PARSED)) / size;
    AcceptedRecords records = filled(size, AcceptedRecords.Retention.PARSED);
    double offer = microsOf(20_000, i -> records.offer(record(i % size, size + 1L + i)));
    double resolve =
        microsOf(200_000, i -> ModelResolver.resolve("adapter-" + i % size, records, 0.5));
    AcceptedRecords watched = filled(size, AcceptedRecords.Retention.VALUES);
    long[] digest = watched.digest();
    double equal = microsOf(2_000, i -> watched.revisionsInDifferingBuckets(digest));
    watched.offer(record(0, 2L * size));
    double oneDiffers = microsOf(50, i -> watched.revisionsInDifferingBuckets(digest));
    line(
        out,
        "record",
        size,
        "watcher_heap_bytes",
        stored,
        "entry_heap_bytes",
        parsed,
        "accept_us",
        offer,
        "resolve_us",
        resolve,
        "digest_equal_us",
        equal,
        "digest_one_differs_us",
        oneDiffers);
  }

  private static AcceptedRecords filled(int size, AcceptedRecords.Retention keep) {
    AcceptedRecords records = new AcceptedRecords(new DefaultRecordParser(), keep);
    for (int i = 0; i < size; i++) {
      records.offer(record(i, i + 1));
    }
    return records;
  }

  private static void runners(int size, PrintStream out) {
    Supplier<List<RunnerController>> fill =
        () -> {
          List<RunnerController> controllers = new ArrayList<>();
          for (int i = 0; i < size; i++) {
            controllers.add(controller());
          }
          return controllers;
        };
    double bytes = heapOf(fill) / size;
    List<RunnerController> controllers = fill.get();
    EngineReport[] reports = new EngineReport[2];
    for (int i = 0; i < reports.length; i++) {
      reports[i] = report();
    }
    double reported =
        microsOf(
            50_000,
            i -> {
              EngineReport one = reports[i % 2];
              controllers
                  .get(i % size)
                  .reported(
                      new EngineReport(i + 10, one.resident(), one.loading(), one.active()),
                      SOLE,
                      i + 10);
            });
    double admit =
        microsOf(
            50_000,
            i -> {
              RunnerController controller = controllers.get(i % size);
              String id = "q" + i;
              controller.offer(
                  new RunnerRequest(id, adapter(i % 8), Priority.INTERACTIVE, i + 900_000L),
                  i + 100L);
              controller.decide(SOLE, i + 100L);
              controller.ended(id, i + 101L);
              controller.decide(SOLE, i + 101L);
            });
    line(
        out, "runner", size, "heap_bytes", bytes, "report_us", reported, "admit_and_end_us", admit);
  }

  private static void route(int size, PrintStream out) {
    List<Runner> pool = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      pool.add(
          new Runner("runner-" + i, "127.0.0.1:1", "d" + i % 5, State.LIVE, "m1", 8, 16, true));
    }
    RunnerChooser chooser = new RunnerChooser(RouteSettings.ashcombe());
    RunnerHints hints = new RunnerHints();
    double route =
        microsOf(
            2_000,
            i -> {
              AdapterVersion adapter = adapter(i);
              List<Runner> candidates = Placement.candidates(adapter, pool, 4);
              chooser.choose(adapter, candidates, Set.of(), hints, i);
            });
    line(out, "route_in_pool", size, "route_us", route);
  }

  private static void streams(int size, PrintStream out) {
    Supplier<List<ChunkSequencer>> sequencers =
        () -> {
          List<ChunkSequencer> list = new ArrayList<>();
          for (int i = 0; i < size; i++) {
            list.add(new ChunkSequencer(0, 1_024));
          }
          return list;
        };
    double bytes = heapOf(sequencers) / size;
    Supplier<OperationTable<String>> operations =
        () -> {
          OperationTable<String> table = new OperationTable<>("host", 1, 600_000, 1_000_000);
          table
              .mint(size, 0)
              .forEach(
                  id -> {
                    table.begin(id, 0);
                    table.completed(id, "answer");
                  });
          return table;
        };
    double operation = heapOf(operations) / size;
    ChunkSequencer sequencer = new ChunkSequencer(0, 1_024);
    byte[] data = new byte[200];
    double chunk = microsOf(500_000, i -> sequencer.accept(i + 1, data));
    line(
        out,
        "stream",
        size,
        "sequencer_heap_bytes",
        bytes,
        "operation_heap_bytes",
        operation,
        "chunk_us",
        chunk);
  }

  private static void messages(PrintStream out) {
    Envelope call =
        Envelope.newBuilder()
            .setCall(1_000)
            .setInference(
                InferenceCall.newBuilder()
                    .setRequestId("host-123-0123456789abcdef-123456.1")
                    .setAdapter("adapter-12345")
                    .setVersion("12")
                    .setRunner("runner-1234")
                    .setPath("/v1/chat/completions")
                    .setRemainingMs(120_000)
                    .setTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"))
            .build();
    Envelope chunk =
        Envelope.newBuilder()
            .setCall(1_000)
            .setChunk(
                Chunk.newBuilder().setSequence(500).setData(ByteString.copyFrom(new byte[200])))
            .build();
    Digest.Builder digest = Digest.newBuilder().setHostsRevision(9);
    for (int i = 0; i < AcceptedRecords.BUCKET_COUNT; i++) {
      digest.addBuckets(Long.MAX_VALUE - i);
    }
    Envelope digestCall = Envelope.newBuilder().setCall(1_000).setDigest(digest).build();
    Envelope equal =
        Envelope.newBuilder()
            .setCall(1_000)
            .setDigestAnswer(DigestAnswer.newBuilder().setEqual(true).setHostsRevision(9))
            .build();
    Envelope lease =
        Envelope.newBuilder()
            .setCall(1_000)
            .setLease(
                LeaseCall.newBuilder()
                    .setRunner("runner-1234")
                    .setHolder("host-123/0123456789abcdef")
                    .setDurationMs(4_000))
            .build();
    Envelope update =
        Envelope.newBuilder()
            .setCall(1_000)
            .setUpdate(Update.newBuilder().addRecords(WireRecords.toWire(record(1, 1))))
            .build();
    Map<String, Envelope> all = new HashMap<>();
    all.put("inference_call_without_body", call);
    all.put("chunk_of_200_bytes", chunk);
    all.put("digest", digestCall);
    all.put("digest_answer_equal", equal);
    all.put("lease_call", lease);
    all.put("one_record_update", update);
    all.forEach(
        (name, message) -> {
          double micros =
              microsOf(
                  100_000,
                  i -> {
                    try {
                      Envelope.parseFrom(message.toByteArray());
                    } catch (InvalidProtocolBufferException e) {
                      throw new IllegalStateException("a written message must parse", e);
                    }
                  });
          line(
              out,
              "message_" + name,
              1,
              "bytes",
              message.getSerializedSize() + FRAME_BYTES,
              "write_and_parse_us",
              micros);
        });
  }

  private static StoredRecord record(int number, long revision) {
    String json =
        "{\"schema\":2,\"name\":\"adapter-"
            + number
            + "\",\"base_model\":\"m"
            + number % 8
            + "\",\"team\":\"bookings\",\"priority\":\"interactive\",\"versions\":["
            + "{\"version\":\"12\",\"weight\":90},{\"version\":\"13\",\"weight\":10}],"
            + "\"max_replicas\":8}";
    return new StoredRecord("adapters/adapter-" + number, revision, false, json.getBytes(UTF_8));
  }

  private static AdapterVersion adapter(int number) {
    return new AdapterVersion("adapter-" + number, "1");
  }

  private static RunnerController controller() {
    RunnerController controller = new RunnerController(8, 16, PolicySettings.ashcombe());
    controller.reported(report(), SOLE, 2);
    return controller;
  }

  private static EngineReport report() {
    Set<AdapterVersion> resident = new HashSet<>();
    Map<String, AdapterVersion> active = new HashMap<>();
    for (int i = 0; i < 8; i++) {
      resident.add(adapter(i));
      active.put("request-" + i, adapter(i));
    }
    return new EngineReport(1, resident, Set.of(), active);
  }

  /** Returns the bytes that stay reachable from what {@code make} makes. */
  private static double heapOf(Supplier<?> make) {
    Object first = make.get();
    long withOne = used();
    Object second = make.get();
    long withTwo = used();
    Reference.reachabilityFence(first);
    Reference.reachabilityFence(second);
    return Math.max(0, withTwo - withOne);
  }

  @SuppressWarnings("ThreadPriorityCheck")
  private static long used() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Returns the microseconds of one call, after a warm-up of as many calls. */
  private static double microsOf(int calls, Work work) {
    for (int i = 0; i < calls; i++) {
      work.call(i);
    }
    long begin = System.nanoTime();
    for (int i = calls; i < 2 * calls; i++) {
      work.call(i);
    }
    return (System.nanoTime() - begin) / 1e3 / calls;
  }

  private static void line(PrintStream out, String what, int size, Object... figures) {
    StringBuilder line = new StringBuilder("slope=" + what + " size=" + size);
    for (int i = 0; i < figures.length; i += 2) {
      double value = ((Number) figures[i + 1]).doubleValue();
      line.append(String.format(Locale.ROOT, " %s=%.2f", figures[i], value));
    }
    out.println(line);
  }

  @FunctionalInterface
  private interface Work {
    void call(int number);
  }
}
