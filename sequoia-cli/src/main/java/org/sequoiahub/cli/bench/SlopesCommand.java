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

/**
 * {@code sequoia bench slopes}: measures the heap and time that each kind of state and message
 * takes, and how they grow with the number of records, runners and streams.
 */
public final class SlopesCommand {

  private static final int[] RECORD_COUNTS = {3_000, 20_000, 77_000};
  private static final int[] RUNNER_COUNTS = {16, 260, 2_100};
  private static final int[] STREAM_COUNTS = {100, 1_000, 10_000};
  private static final int FRAME_HEADER_BYTES = 4;

  /** Authority over a runner that no other dispatcher has ever used. */
  private static final Rights SOLE_OWNER = new Rights(true, 1, Long.MIN_VALUE / 2);

  private SlopesCommand() {}

  /** Prints one line for each kind of state at each size, and one for each message. */
  public static void run(PrintStream out) {
    for (int size : RECORD_COUNTS) {
      measureRecords(size, out);
    }
    for (int size : RUNNER_COUNTS) {
      measureRunners(size, out);
      measureRouting(size, out);
    }
    for (int size : STREAM_COUNTS) {
      measureStreams(size, out);
    }
    measureMessages(out);
  }

  private static void measureRecords(int size, PrintStream out) {
    double watcherHeapBytes =
        measureHeapBytes(() -> createRecords(size, AcceptedRecords.Retention.VALUES)) / size;
    double entryHeapBytes =
        measureHeapBytes(() -> createRecords(size, AcceptedRecords.Retention.PARSED)) / size;
    AcceptedRecords records = createRecords(size, AcceptedRecords.Retention.PARSED);
    double offer = measureMicros(20_000, i -> records.offer(createRecord(i % size, size + 1L + i)));
    double resolve =
        measureMicros(200_000, i -> ModelResolver.resolve("adapter-" + i % size, records, 0.5));
    AcceptedRecords watcherRecords = createRecords(size, AcceptedRecords.Retention.VALUES);
    long[] digest = watcherRecords.digest();
    double equal = measureMicros(2_000, i -> watcherRecords.revisionsInDifferingBuckets(digest));
    watcherRecords.offer(createRecord(0, 2L * size));
    double oneDiffers = measureMicros(50, i -> watcherRecords.revisionsInDifferingBuckets(digest));
    printLine(
        out,
        "record",
        size,
        "watcher_heap_bytes",
        watcherHeapBytes,
        "entry_heap_bytes",
        entryHeapBytes,
        "accept_us",
        offer,
        "resolve_us",
        resolve,
        "digest_equal_us",
        equal,
        "digest_one_differs_us",
        oneDiffers);
  }

  private static AcceptedRecords createRecords(int size, AcceptedRecords.Retention keep) {
    AcceptedRecords records = new AcceptedRecords(new DefaultRecordParser(), keep);
    for (int i = 0; i < size; i++) {
      records.offer(createRecord(i, i + 1));
    }
    return records;
  }

  private static void measureRunners(int size, PrintStream out) {
    Supplier<List<RunnerController>> factory =
        () -> {
          List<RunnerController> controllers = new ArrayList<>();
          for (int i = 0; i < size; i++) {
            controllers.add(createController());
          }
          return controllers;
        };
    double bytes = measureHeapBytes(factory) / size;
    List<RunnerController> controllers = factory.get();
    EngineReport[] reports = new EngineReport[2];
    for (int i = 0; i < reports.length; i++) {
      reports[i] = createReport();
    }
    double reported =
        measureMicros(
            50_000,
            i -> {
              EngineReport report = reports[i % 2];
              controllers
                  .get(i % size)
                  .applyReport(
                      new EngineReport(
                          i + 10, report.resident(), report.loading(), report.active()),
                      SOLE_OWNER,
                      i + 10);
            });
    double admit =
        measureMicros(
            50_000,
            i -> {
              RunnerController controller = controllers.get(i % size);
              String id = "q" + i;
              controller.offer(
                  new RunnerRequest(id, createAdapter(i % 8), Priority.INTERACTIVE, i + 900_000L),
                  i + 100L);
              controller.decide(SOLE_OWNER, i + 100L);
              controller.requestEnded(id, i + 101L);
              controller.decide(SOLE_OWNER, i + 101L);
            });
    printLine(
        out, "runner", size, "heap_bytes", bytes, "report_us", reported, "admit_and_end_us", admit);
  }

  private static void measureRouting(int size, PrintStream out) {
    List<Runner> pool = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      pool.add(
          new Runner("runner-" + i, "127.0.0.1:1", "d" + i % 5, State.LIVE, "m1", 8, 16, true));
    }
    RunnerChooser chooser = new RunnerChooser(RouteSettings.ashcombe());
    RunnerHints hints = new RunnerHints();
    double route =
        measureMicros(
            2_000,
            i -> {
              AdapterVersion adapter = createAdapter(i);
              List<Runner> candidates = Placement.candidates(adapter, pool, 4);
              chooser.choose(adapter, candidates, Set.of(), hints, i);
            });
    printLine(out, "route_in_pool", size, "route_us", route);
  }

  private static void measureStreams(int size, PrintStream out) {
    Supplier<List<ChunkSequencer>> sequencers =
        () -> {
          List<ChunkSequencer> list = new ArrayList<>();
          for (int i = 0; i < size; i++) {
            list.add(new ChunkSequencer(0, 1_024));
          }
          return list;
        };
    double bytes = measureHeapBytes(sequencers) / size;
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
    double operation = measureHeapBytes(operations) / size;
    ChunkSequencer sequencer = new ChunkSequencer(0, 1_024);
    byte[] data = new byte[200];
    double chunk = measureMicros(500_000, i -> sequencer.accept(i + 1, data));
    printLine(
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

  private static void measureMessages(PrintStream out) {
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
            .setUpdate(Update.newBuilder().addRecords(WireRecords.toWire(createRecord(1, 1))))
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
              measureMicros(
                  100_000,
                  i -> {
                    try {
                      Envelope.parseFrom(message.toByteArray());
                    } catch (InvalidProtocolBufferException e) {
                      throw new IllegalStateException(
                          "a serialized message could not be parsed", e);
                    }
                  });
          printLine(
              out,
              "message_" + name,
              1,
              "bytes",
              message.getSerializedSize() + FRAME_HEADER_BYTES,
              "write_and_parse_us",
              micros);
        });
  }

  private static StoredRecord createRecord(int number, long revision) {
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

  private static AdapterVersion createAdapter(int number) {
    return new AdapterVersion("adapter-" + number, "1");
  }

  private static RunnerController createController() {
    RunnerController controller = new RunnerController(8, 16, PolicySettings.ashcombe());
    controller.applyReport(createReport(), SOLE_OWNER, 2);
    return controller;
  }

  private static EngineReport createReport() {
    Set<AdapterVersion> resident = new HashSet<>();
    Map<String, AdapterVersion> active = new HashMap<>();
    for (int i = 0; i < 8; i++) {
      resident.add(createAdapter(i));
      active.put("request-" + i, createAdapter(i));
    }
    return new EngineReport(1, resident, Set.of(), active);
  }

  /**
   * Returns the heap bytes retained by an object that {@code factory} creates, measured on the
   * second of two so that one-time allocations don't count.
   */
  private static double measureHeapBytes(Supplier<?> factory) {
    Object first = factory.get();
    long withOne = usedHeapBytes();
    Object second = factory.get();
    long withTwo = usedHeapBytes();
    Reference.reachabilityFence(first);
    Reference.reachabilityFence(second);
    return Math.max(0, withTwo - withOne);
  }

  @SuppressWarnings("ThreadPriorityCheck")
  private static long usedHeapBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Returns the mean microseconds of a call, measured after as many warm-up calls. */
  private static double measureMicros(int calls, MeasuredCall call) {
    for (int i = 0; i < calls; i++) {
      call.invoke(i);
    }
    long begin = System.nanoTime();
    for (int i = calls; i < 2 * calls; i++) {
      call.invoke(i);
    }
    return (System.nanoTime() - begin) / 1e3 / calls;
  }

  private static void printLine(PrintStream out, String subject, int size, Object... figures) {
    StringBuilder line = new StringBuilder("slope=" + subject + " size=" + size);
    for (int i = 0; i < figures.length; i += 2) {
      double value = ((Number) figures[i + 1]).doubleValue();
      line.append(String.format(Locale.ROOT, " %s=%.2f", figures[i], value));
    }
    out.println(line);
  }

  @FunctionalInterface
  private interface MeasuredCall {
    void invoke(int number);
  }
}
