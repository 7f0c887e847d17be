package org.sequoiahub.runtime.settings;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sequoiahub.schema.settings.Rule;
import org.sequoiahub.schema.settings.SettingsProto;

/**
 * Loads a settings message from flags and environment variables according to its schema.
 *
 * <p>The field {@code http_port} is set by the flag {@code --http-port} or the variable {@code
 * SEQUOIA_HTTP_PORT}; the flag takes precedence. All problems are reported together, so that an
 * operator can fix a unit file at once.
 *
 * @param <T> the settings message
 */
public final class SettingsLoader<T extends Message> {

  private static final String VARIABLE_PREFIX = "SEQUOIA_";
  private static final int HELP_INDENT = 6;

  private final String binary;
  private final String version;
  private final T prototype;

  /**
   * Creates a loader.
   *
   * @param binary the binary's name, for the help text
   * @param version the binary's version
   * @param prototype the default instance of the settings message
   */
  public SettingsLoader(String binary, String version, T prototype) {
    this.binary = requireNonNull(binary, "binary must not be null");
    this.version = requireNonNull(version, "version must not be null");
    this.prototype = requireNonNull(prototype, "prototype must not be null");
  }

  /** Loads the settings from a command line and an environment. */
  public SettingsResult<T> load(String[] arguments, Map<String, String> environment) {
    CommandLine line;
    try {
      line =
          DefaultParser.builder()
              .setAllowPartialMatching(false)
              .build()
              .parse(options(), arguments);
    } catch (ParseException e) {
      return new SettingsResult.Invalid<>(List.of(e.getMessage() + " (see --help)"));
    }
    if (line.hasOption("help")) {
      return new SettingsResult.Information<>(help());
    }
    if (line.hasOption("version")) {
      return new SettingsResult.Information<>(binary + " " + version);
    }
    List<String> problems = new ArrayList<>();
    for (String extra : line.getArgList()) {
      problems.add("'" + extra + "' is not a flag (see --help)");
    }
    return buildSettings(line, environment, problems);
  }

  /** Returns the text that {@code --help} prints. */
  public String help() {
    StringWriter text = new StringWriter();
    PrintWriter out = new PrintWriter(text);
    out.println("usage: " + binary + " [--FLAG VALUE ...]");
    out.println(
        "Each flag has an environment variable; the flag takes precedence. Exit codes: 0 stopped");
    out.println(
        "on request, 2 invalid settings, 3 port or address not available, 70 internal error.");
    for (FieldDescriptor field : prototype.getDescriptorForType().getFields()) {
      Rule rule = rule(field);
      out.println();
      out.println("  --" + flag(field) + "  (" + variable(field) + ")");
      out.println(" ".repeat(HELP_INDENT) + rule.getHelp() + constraints(rule));
    }
    return text.toString();
  }

  @SuppressWarnings("unchecked") // the builder of a T builds a T
  private SettingsResult<T> buildSettings(
      CommandLine line, Map<String, String> environment, List<String> problems) {
    Message.Builder builder = prototype.newBuilderForType();
    for (FieldDescriptor field : prototype.getDescriptorForType().getFields()) {
      Rule rule = rule(field);
      Optional<String> text = configuredText(field, line, environment);
      if (text.isPresent()) {
        parseValue(field, rule, text.get(), problems).ifPresent(v -> builder.setField(field, v));
      } else if (rule.getRequired()) {
        problems.add(name(field) + ": missing required value: " + rule.getHelp());
      }
    }
    return problems.isEmpty()
        ? new SettingsResult.Valid<>((T) builder.build())
        : new SettingsResult.Invalid<>(problems);
  }

  private Optional<String> configuredText(
      FieldDescriptor field, CommandLine line, Map<String, String> environment) {
    if (line.hasOption(flag(field))) {
      return Optional.of(line.getOptionValue(flag(field)));
    }
    if (environment.containsKey(variable(field))) {
      return Optional.of(environment.getOrDefault(variable(field), ""));
    }
    Rule rule = rule(field);
    return rule.hasDefaultValue() ? Optional.of(rule.getDefaultValue()) : Optional.empty();
  }

  private static Optional<Object> parseValue(
      FieldDescriptor field, Rule rule, String text, List<String> problems) {
    if (field.getJavaType() == FieldDescriptor.JavaType.STRING) {
      checkText(field, rule, text, problems);
      return Optional.of(text);
    }
    try {
      long number = Long.parseLong(text);
      if (number < rule.getMin() || number > rule.getMax()) {
        problems.add(
            name(field)
                + ": must be from "
                + rule.getMin()
                + " to "
                + rule.getMax()
                + ", was "
                + number);
      }
      boolean isInt = field.getJavaType() == FieldDescriptor.JavaType.INT;
      return Optional.of(isInt ? (Object) (int) number : (Object) number);
    } catch (NumberFormatException e) {
      problems.add(name(field) + ": must be a whole number, was '" + text + "'");
      return Optional.empty();
    }
  }

  private static void checkText(
      FieldDescriptor field, Rule rule, String text, List<String> problems) {
    if (text.isEmpty()) {
      problems.add(name(field) + ": must not be empty");
    } else if (rule.getOneOfCount() > 0 && !rule.getOneOfList().contains(text)) {
      problems.add(
          name(field) + ": must be one of " + rule.getOneOfList() + ", was '" + text + "'");
    } else if (rule.getEndpoint() && Endpoint.parse(text).isEmpty()) {
      problems.add(name(field) + ": must be host:port, was '" + text + "'");
    }
  }

  private Options options() {
    Options options = new Options();
    options.addOption(Option.builder().longOpt("help").desc("print this text").build());
    options.addOption(Option.builder().longOpt("version").desc("print the version").build());
    for (FieldDescriptor field : prototype.getDescriptorForType().getFields()) {
      options.addOption(Option.builder().longOpt(flag(field)).hasArg().build());
    }
    return options;
  }

  private static String constraints(Rule rule) {
    StringBuilder text = new StringBuilder();
    if (rule.getOneOfCount() > 0) {
      text.append("; one of ").append(rule.getOneOfList());
    }
    if (rule.hasMin()) {
      text.append("; from ").append(rule.getMin()).append(" to ").append(rule.getMax());
    }
    return text + (rule.getRequired() ? "; required" : "; default " + rule.getDefaultValue());
  }

  private static Rule rule(FieldDescriptor field) {
    return field.getOptions().getExtension(SettingsProto.rule);
  }

  private static String name(FieldDescriptor field) {
    return "--" + flag(field) + " (" + variable(field) + ")";
  }

  private static String flag(FieldDescriptor field) {
    return field.getName().replace('_', '-');
  }

  private static String variable(FieldDescriptor field) {
    return VARIABLE_PREFIX + field.getName().toUpperCase(Locale.ROOT);
  }
}
