package org.sequoiahub.cli.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Writes the figures of simulation runs as a text table and as PNG charts. */
final class PolicyReport {

  private static final int WIDTH = 900;
  private static final int HEIGHT = 420;

  private PolicyReport() {}

  /** The parameters and figures of one simulation run. */
  record Row(String policy, String deployment, String trace, long seed, PolicyFigures figures) {
    String formatLine() {
      return "policy="
          + policy
          + " deployment="
          + deployment
          + " trace="
          + trace
          + " seed="
          + seed
          + " "
          + figures.formatLine();
    }
  }

  /**
   * Writes {@code policy.txt} and, for each deployment, charts of the mean load stall and the batch
   * efficiency into a directory, which is created if it doesn't exist.
   */
  static void write(Path directory, List<Row> rows) throws IOException {
    Files.createDirectories(directory);
    try (PrintWriter table =
        new PrintWriter(
            Files.newBufferedWriter(directory.resolve("policy.txt"), StandardCharsets.UTF_8))) {
      rows.forEach(row -> table.println(row.formatLine()));
    }
    for (String deployment : rows.stream().map(Row::deployment).distinct().toList()) {
      List<Row> deploymentRows =
          rows.stream().filter(r -> r.deployment().equals(deployment)).toList();
      writePlot(
          directory,
          deployment + "-load-stall",
          "mean load stall (ms), " + deployment,
          deploymentRows,
          row -> row.figures().stallMeanMillis());
      writePlot(
          directory,
          deployment + "-batch-efficiency",
          "batch efficiency, " + deployment,
          deploymentRows,
          row -> row.figures().batchEfficiency());
    }
  }

  private static void writePlot(
      Path directory, String file, String title, List<Row> rows, ToDoubleFunction<Row> figure)
      throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle("trace")
            .yAxisTitle(title)
            .build();
    List<String> traces = rows.stream().map(Row::trace).distinct().toList();
    for (String policy : rows.stream().map(Row::policy).distinct().toList()) {
      List<Double> means = new ArrayList<>();
      for (String trace : traces) {
        means.add(
            rows.stream()
                .filter(r -> r.policy().equals(policy) && r.trace().equals(trace))
                .mapToDouble(figure)
                .average()
                .orElse(0));
      }
      chart.addSeries(policy, traces, means);
    }
    BitmapEncoder.saveBitmap(
        chart,
        directory.resolve(file.toLowerCase(Locale.ROOT) + ".png").toString(),
        BitmapFormat.PNG);
  }
}
