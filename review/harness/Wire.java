import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Properties;

/** The names and texts of the users' pages, which stand in files beside the sources. */
final class Wire {

  private static final Properties NAMES = new Properties();

  static {
    try (InputStream in = Wire.class.getResourceAsStream("/wire.properties")) {
      NAMES.load(in);
    } catch (IOException e) {
      throw new ExceptionInInitializerError(e);
    }
  }

  private Wire() {}

  static String name(String key) {
    String name = NAMES.getProperty(key);
    if (name == null) {
      throw new IllegalArgumentException("no name " + key);
    }
    return name;
  }

  static String resource(String file) throws IOException {
    try (InputStream in = Wire.class.getResourceAsStream("/" + file)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
